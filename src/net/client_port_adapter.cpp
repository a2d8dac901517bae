#include "net/client_port_adapter.h"

#include <utility>

namespace yokestream::net {

void ClientPortAdapter::add(dispatch::SessionId id, std::shared_ptr<ClientSession> session) {
  sessions_.emplace(id, std::move(session));
}

std::shared_ptr<ClientSession> ClientPortAdapter::remove(dispatch::SessionId id) {
  auto removed = sessions_.extract(id);
  return removed ? std::move(removed.mapped()) : nullptr;
}

ClientSession* ClientPortAdapter::find(dispatch::SessionId id) {
  const auto found = sessions_.find(id);
  return found == sessions_.end() ? nullptr : found->second.get();
}

void ClientPortAdapter::finish_settled_sessions() {
  for (auto& [id, session] : sessions_) session->close_after_writes_if_settled();
}

void ClientPortAdapter::send_result(dispatch::SessionId id, dispatch::CallId call, dispatch::Result result) {
  if (auto* session = find(id)) session->send_result(call, std::move(result));
}

void ClientPortAdapter::send_rejection(dispatch::SessionId id, dispatch::CallId call, Duration retry_after) {
  if (auto* session = find(id)) session->send_rejection(call, retry_after);
}

void ClientPortAdapter::send_failure(dispatch::SessionId id, dispatch::CallId call, std::string_view cause) {
  if (auto* session = find(id)) session->send_failure(call, cause);
}

void ClientPortAdapter::send_readiness(dispatch::SessionId id, dispatch::CallId call, bool ready) {
  if (auto* session = find(id)) session->send_readiness(call, ready);
}

void ClientPortAdapter::attach_quote(dispatch::SessionId id, dispatch::CallId call,
                                     const scheduler::WaitEstimate& quote) {
  if (!settings_.quote_method) return;
  if (auto* session = find(id)) session->attach_quote(call, quote);
}

void ClientPortAdapter::send_quote(dispatch::SessionId id, dispatch::CallId call,
                                   const scheduler::WaitEstimate& quote) {
  if (auto* session = find(id)) session->send_quote(call, quote);
}

void ClientPortAdapter::close(dispatch::SessionId id) {
  if (auto* session = find(id)) session->abort("closed by the dispatcher");
}

bool ClientPortAdapter::close_if_idle(dispatch::SessionId id) {
  auto* session = find(id);
  return session && session->close_if_idle();
}

bool ClientPortAdapter::close_after_responses(dispatch::SessionId id) {
  auto* session = find(id);
  return session && session->close_after_writes_if_nothing_unread();
}

bool ClientPortAdapter::has_disconnected(dispatch::SessionId id) {
  const auto* session = find(id);
  return session && session->peer_has_closed();
}

}  // namespace yokestream::net
