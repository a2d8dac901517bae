// Destroys client connections and the listener, which joins their threads, on a thread of its own: the
// dispatcher's thread never waits for one.
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
  ~SessionReaper();  // destroys what has been handed in; joins
  SessionReaper(const SessionReaper&) = delete;
  SessionReaper& operator=(const SessionReaper&) = delete;

  // Any thread; never block. A session is cut off at once, and destroyed later.
  void retire(std::shared_ptr<ClientSession> session);
  void retire(std::unique_ptr<Listener> listener);

 private:
  using Retired = std::variant<std::shared_ptr<ClientSession>, std::unique_ptr<Listener>>;
  BoundedWorkQueue<Retired> retired_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
