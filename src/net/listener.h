// Accepts clients, and takes leave of what has ended.
#pragma once

#include <atomic>
#include <memory>
#include <variant>

#include "config/config.h"
#include "net/bounded_work_queue.h"
#include "net/client_session.h"
#include "net/events.h"
#include "net/thread.h"

namespace yokestream::net {

// Closed until it is opened, once, by any thread.
class Gate {
 public:
  Gate();  // throws std::system_error
  void open();
  const Fd& opened() const { return opened_; }  // can be read from then on
  bool is_open() const { return open_; }

 private:
  Fd opened_;
  std::atomic<bool> open_{false};
};

// Accepts clients once `gate` is open. Its thread waits for them and for its own end together. The socket is
// the platform's, where it hands one down (`config.listen_fd`), and then shared with other processes: it is
// never shut down here, only closed.
class Listener {
 public:
  // `slots`: connections that may be there at once; it outlives them, as the listener does not.
  Listener(const config::Config& config, const Gate& gate, dispatch::Budget& slots, dispatch::Budget& budget,
           Inbox& inbox, ReaderPool& readers, dispatch::Log& log);
  ~Listener();
  config::Endpoint endpoint() const { return local_endpoint(fd_); }

 private:
  void accept_all();
  bool wait_until(Time deadline, const Fd* news);  // false: it is over

  Fd fd_, over_;  // over_: can be read once all is over
  const Gate& gate_;
  const config::RealSettings& names_;
  dispatch::Budget& budget_;
  dispatch::Budget& slots_;
  Inbox& inbox_;
  ReaderPool& readers_;
  dispatch::Log& log_;
  std::uint64_t last_session_ = 0;
  Thread thread_;  // last: it uses the rest
};

// Destroys client connections and the listener, which joins their threads, on a thread of its own: the core
// never waits for one.
class Undertaker {
 public:
  Undertaker();
  ~Undertaker();
  void bury(std::shared_ptr<ClientSession> session);
  void bury(std::unique_ptr<Listener> listener);

 private:
  using Dead = std::variant<std::shared_ptr<ClientSession>, std::unique_ptr<Listener>>;
  BoundedWorkQueue<Dead> dead_;
  Thread thread_;
};

}  // namespace yokestream::net
