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
class Watched {
 public:
  // When there is more to read or, while it is being set up, to write; at `due()`; never, as it has ended;
  // never here, as something else reads it from now on.
  enum class Look { again, writable, later, ended, taken };
  virtual ~Watched() = default;
  virtual int descriptor() const = 0;
  // Handles what has come, without waiting. `asked`: something has come, or it can be written now; else it is
  // new here, or due.
  virtual Look look(Time now, bool asked) = 0;
  virtual Time due() const = 0;  // when to look again though nothing has come; Time::max(): never
  virtual void end() = 0;        // it has ended: its last look said so
};

class Poller {
 public:
  explicit Poller(
      const char* name);  // throws std::system_error; `name`: of its thread, 15 characters at most
  ~Poller();              // reads no more; joins
  // From any thread: reads this connection from now on.
  void admit(std::weak_ptr<Watched> connection);

 private:
  struct Guest {
    std::shared_ptr<Watched> connection;
    Time due = Time::max();
    bool watched = false;  // the system names it when something comes
  };
  void run();
  void take_in();
  void look_at(std::uint64_t number, bool asked);
  void watch(std::uint64_t number, Guest& guest, Watched::Look look);
  void leave(std::uint64_t number);
  void wake();

  Fd epoll_, wake_;
  std::mutex mutex_;
  std::vector<std::weak_ptr<Watched>> coming_;  // guarded
  bool over_ = false;                           // guarded
  // The poller's thread only. Numbers are given once, so that what is named late is taken for no other.
  std::uint64_t last_ = 0;
  std::map<std::uint64_t, Guest> guests_;
  std::set<std::pair<Time, std::uint64_t>> due_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
