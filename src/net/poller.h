// Serves many connections on one thread, using epoll.
//
// A connection costs a descriptor and memory but no thread, and all connections together use at most one
// thread's processor time. The server has three pollers: for clients without a reader thread, for all
// connections to engines, and for writing to peers that are slow to read (sender.h).
//
// Failure: one thread per connection. Symptom: a platform that throttles the process by stopping it spends
// time on each thread at each stop (docs/design/door.md), and a machine with hundreds of managers runs out of
// threads (docs/design/fleet.md). Guard: one thread serves all connections.
//
// Connections must not block the poller's thread. The poller shares ownership of the connections registered
// with it. Memory: one entry per connection, bounded by the client slots and by the limit on engine
// connections.
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

// The interface of a connection to the poller. All calls come from the poller's thread.
class Pollable {
 public:
  // When to call on_ready() next. wait_readable: when the socket is readable, or at next_due().
  // wait_writable: when it is writable, or at next_due(). wait_until_due: only at next_due(). closed: never;
  // on_closed() follows. handed_over: never; another thread serves the connection from now on.
  enum class PollResult { wait_readable, wait_writable, wait_until_due, closed, handed_over };
  virtual ~Pollable() = default;
  virtual int descriptor() const = 0;
  // Reads or writes what it can without blocking. `is_ready` is true if the socket is readable or writable;
  // else the connection has just been added or is due.
  virtual PollResult on_ready(Time now, bool is_ready) = 0;
  virtual Time next_due() const = 0;  // when to call on_ready() at the latest; Time::max(): no limit
  virtual void on_closed() = 0;       // called after on_ready() has returned closed
};

class Poller {
 public:
  // Starts the thread. `thread_name` has at most 15 characters. Throws std::system_error.
  explicit Poller(const char* thread_name);
  ~Poller();  // stops and joins the thread
  // Serves the connection from now on, if it still exists. Any thread may call.
  void add(std::weak_ptr<Pollable> connection);
  // Calls on_ready() soon, if the connection is registered. Any thread may call.
  void prompt(std::weak_ptr<Pollable> connection);

 private:
  struct Registration {
    std::shared_ptr<Pollable> connection;
    Time due = Time::max();
    bool armed = false;  // the descriptor has been added to the epoll set
  };
  void run();
  void register_pending();
  void notify_prompted(const std::shared_ptr<Pollable>& connection);
  void notify(std::uint64_t token, bool is_ready);
  void arm(std::uint64_t token, Registration& registration, Pollable::PollResult result);
  void unregister(std::uint64_t token);
  void wake();

  Fd epoll_;
  Fd wake_event_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Pollable>> pending_;   // guarded by mutex_; to be registered
  std::vector<std::weak_ptr<Pollable>> prompted_;  // guarded by mutex_
  bool stopping_ = false;                          // guarded by mutex_
  // Used by the poller's thread only. Tokens are never reused, so that a late epoll report cannot be
  // attributed to another connection.
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, Registration> registrations_;
  std::set<std::pair<Time, std::uint64_t>> due_times_;
  Thread thread_;  // declared last: it uses the other members
};

}  // namespace yokestream::net
