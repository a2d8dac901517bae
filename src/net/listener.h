// Accepts client connections.
#pragma once

#include "config/config.h"
#include "net/accept_gate.h"
#include "net/client_session.h"
#include "net/events.h"
#include "net/listening_socket.h"
#include "net/thread.h"

namespace yokestream::net {

// Accepts clients once `gate` is open. With `config.listen_fd` the listening socket is inherited from the
// platform and shared with other processes, so it is never shut down here, only closed.
class Listener {
 public:
  // `session_slots` bounds the connections that are open at once. A connection holds one slot and may outlive
  // the listener. All references must outlive the listener. Throws std::system_error.
  Listener(const config::Config& config, const AcceptGate& gate, dispatch::Budget& session_slots,
           dispatch::Budget& client_memory_budget, DispatcherQueue& events, ReaderPool& reader_pool,
           dispatch::Log& log);
  ~Listener();  // stops accepting and joins the thread
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  [[nodiscard]] config::Endpoint endpoint() const { return local_endpoint(fd_); }

 private:
  enum class WaitResult { ready, stopping };

  void run();
  void accept_clients();
  WaitResult wait_until(Time deadline, const Fd* readable);
  void start_session(Fd connection, std::uint64_t origin, dispatch::Reservation slot);

  Fd fd_;
  Fd stop_event_;  // an eventfd; readable when the listener is to stop
  const AcceptGate& gate_;
  const config::RealSettings& settings_;
  dispatch::Budget& client_memory_budget_;
  dispatch::Budget& session_slots_;
  DispatcherQueue& events_;
  ReaderPool& reader_pool_;
  dispatch::Log& log_;
  std::uint64_t last_session_ = 0;  // used by thread_ only
  Thread thread_;                   // declared last: it uses the other members
};

}  // namespace yokestream::net
