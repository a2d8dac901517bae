// Destroys client sessions and the listener on a thread of its own. Destruction joins their threads, for
// which the dispatcher's thread must never wait.
#pragma once

#include <memory>
#include <variant>

#include "net/bounded_work_queue.h"
#include "net/client_session.h"
#include "net/listener.h"
#include "net/thread.h"

namespace yokestream::net {

class SessionReaper {
 public:
  SessionReaper();   // throws std::system_error
  ~SessionReaper();  // destroys all retired objects and joins the thread
  SessionReaper(const SessionReaper&) = delete;
  SessionReaper& operator=(const SessionReaper&) = delete;

  // Any thread may call; neither blocks. A session is aborted at once and destroyed later.
  void retire(std::shared_ptr<ClientSession> session);
  void retire(std::unique_ptr<Listener> listener);

 private:
  using Retired = std::variant<std::shared_ptr<ClientSession>, std::unique_ptr<Listener>>;
  BoundedWorkQueue<Retired> retired_;
  Thread thread_;  // declared last: it uses the other members
};

}  // namespace yokestream::net
