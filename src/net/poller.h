// Serves many connections on one thread (epoll).
//
// A crowd of connections costs descriptors and bytes, but no threads, and gets one thread's part of the
// processor, however many there are. The server has three pollers: for clients without a reader of their own,
// for all connections to engines, and for writing to peers that are slow to read (sender.h).
//
// Failure: a thread for each connection. Symptom: a platform that stops the process pays for each thread
// (docs/design/door.md), and a machine with hundreds of managers runs out of threads (docs/design/fleet.md).
// Guard: one thread for all.
//
// A connection must not make the poller wait. The poller shares ownership of the connections registered with
// it. Memory: one entry a connection, bounded by the client slots and by the bound on engine connections.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "net/socket.h"
#include "net/thread.h"

namespace yokestream::net {

// A connection as the poller sees it. All calls come from the poller's thread.
class Pollable {
 public:
  // When to call it next. wait_readable: when there is more to read, or at next_due(). wait_writable: when it
  // can be written, or at next_due(). wait_until_due: at next_due() only. closed: never, and on_closed()
  // follows. handed_over: never, something else serves it from now on.
  enum class PollResult { wait_readable, wait_writable, wait_until_due, closed, handed_over };
  virtual ~Pollable() = default;
  virtual int descriptor() const = 0;
  // Handles what has come, without waiting. `is_ready`: something has come, or it can be written now; else it
  // has just been added, or is due.
  virtual PollResult on_ready(Time now, bool is_ready) = 0;
  virtual Time next_due() const = 0;  // when to call it though nothing has come; Time::max(): never
  virtual void on_closed() = 0;       // its last on_ready() returned closed
};

class Poller {
 public:
  // Starts the thread. `thread_name`: 15 characters at most. Throws std::system_error.
  explicit Poller(const char* thread_name);
  ~Poller();  // stops and joins the thread
  // Any thread may call: serves this connection from now on, if it still exists.
  void add(std::weak_ptr<Pollable> connection);

 private:
  struct Registration {
    std::shared_ptr<Pollable> connection;
    Time due = Time::max();
    bool armed = false;  // epoll reports it when something comes
  };
  void run();
  void register_pending();
  void notify(std::uint64_t token, bool is_ready);
  void arm(std::uint64_t token, Registration& registration, Pollable::PollResult result);
  void unregister(std::uint64_t token);
  void wake();

  Fd epoll_;
  Fd wake_event_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Pollable>> pending_;  // guarded by mutex_
  bool stopping_ = false;                         // guarded by mutex_
  // Poller thread only. A token is never given twice, so that a late report is not mistaken for another's.
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, Registration> registrations_;
  std::set<std::pair<Time, std::uint64_t>> due_times_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
