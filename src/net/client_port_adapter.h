// Implements the dispatcher's port to clients on sockets: owns the client sessions that the dispatcher has
// been told of and forwards its actions to them. Actions on a session that has ended are ignored.
//
// Used by the dispatcher's thread only.
#pragma once

#include <map>
#include <memory>
#include <string_view>

#include "config/settings.h"
#include "dispatch/ports.h"
#include "net/client_session.h"

namespace yokestream::net {

class ClientPortAdapter : public dispatch::ClientPort {
 public:
  explicit ClientPortAdapter(const config::RealSettings& settings) : settings_(settings) {}

  void add(dispatch::SessionId id, std::shared_ptr<ClientSession> session);
  // Removes the session and returns it; nullptr if there is none.
  std::shared_ptr<ClientSession> remove(dispatch::SessionId id);
  // Returns nullptr if there is no such session. The pointer is valid until remove() or clear().
  ClientSession* find(dispatch::SessionId id);
  [[nodiscard]] bool empty() const { return sessions_.empty(); }
  // Closes the sessions without unprocessed messages, each after its queued responses have been written.
  void finish_settled_sessions();
  void clear() { sessions_.clear(); }

  void send_result(dispatch::SessionId id, dispatch::CallId call, dispatch::Result result) override;
  void send_rejection(dispatch::SessionId id, dispatch::CallId call, Duration retry_after) override;
  void send_failure(dispatch::SessionId id, dispatch::CallId call, std::string_view cause) override;
  void send_readiness(dispatch::SessionId id, dispatch::CallId call, bool ready) override;
  void attach_quote(dispatch::SessionId id, dispatch::CallId call,
                    const scheduler::WaitEstimate& quote) override;
  void send_quote(dispatch::SessionId id, dispatch::CallId call,
                  const scheduler::WaitEstimate& quote) override;
  void close(dispatch::SessionId id) override;
  bool close_if_idle(dispatch::SessionId id) override;
  bool close_after_responses(dispatch::SessionId id) override;
  bool has_disconnected(dispatch::SessionId id) override;

 private:
  const config::RealSettings& settings_;
  std::map<dispatch::SessionId, std::shared_ptr<ClientSession>> sessions_;
};

}  // namespace yokestream::net
