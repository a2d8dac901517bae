// Reads many connections on one thread.
//
// It waits on all of them together, so that a crowd of connections costs descriptors and bytes, but no
// threads, and their reading gets one thread's part of the processor, however many there are. Three stand in
// the program: the lobby of clients that do not deserve a reader of their own, the dock of all connections to
// engines, and the one that writes to peers that are slow to read (sender.h). Guards the core, and the
// machine: see docs/design/door.md for what a thread costs on a platform that stops the process, and
// docs/design/fleet.md for a machine that holds hundreds of managers and runs out of threads.
//
// A connection that it looks at must not make it wait. It holds those that it waits on; memory: one entry a
// connection, which the places for clients and the bound on links bound.
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
  // When there is more to read or, while it is being set up, to write; at `due()`; never, as it has ended;
  // never here, as something else reads it from now on.
  enum class PollResult { wait_readable, wait_writable, wait_until_due, closed, handed_over };
  virtual ~Pollable() = default;
  virtual int descriptor() const = 0;
  // Handles what has come, without waiting. `asked`: something has come, or it can be written now; else it is
  // new here, or due.
  virtual PollResult on_ready(Time now, bool asked) = 0;
  virtual Time next_due() const = 0;  // when to look again though nothing has come; Time::max(): never
  virtual void on_closed() = 0;       // it has ended: its last look said so
};

class Poller {
 public:
  explicit Poller(
      const char* name);  // throws std::system_error; `name`: of its thread, 15 characters at most
  ~Poller();              // reads no more; joins
  // From any thread: reads this connection from now on.
  void add(std::weak_ptr<Pollable> connection);

 private:
  struct Registration {
    std::shared_ptr<Pollable> connection;
    Time due = Time::max();
    bool armed = false;  // the system names it when something comes
  };
  void run();
  void register_pending();
  void notify(std::uint64_t number, bool asked);
  void arm(std::uint64_t number, Registration& guest, Pollable::PollResult look);
  void unregister(std::uint64_t number);
  void wake();

  Fd epoll_, wake_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Pollable>> pending_;  // guarded
  bool stopping_ = false;                         // guarded
  // The poller's thread only. Numbers are given once, so that what is named late is taken for no other.
  std::uint64_t last_token_ = 0;
  std::map<std::uint64_t, Registration> registrations_;
  std::set<std::pair<Time, std::uint64_t>> due_times_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
