// The core's ports: what it says to clients and engines goes to their connections. The core's thread only.
#include "net/server.h"
#include "protocol/resp.h"

namespace yokestream::net {

ClientSession* Server::find(dispatch::SessionId session) {
  const auto it = sessions_.find(session);
  return it == sessions_.end() ? nullptr : it->second.get();
}
EngineConnection* Server::find(dispatch::EngineConnectionId link) {
  const auto it = links_.find(link);
  return it == links_.end() ? nullptr : it->second.get();
}

void Server::send_result(dispatch::SessionId session, dispatch::CallId call, dispatch::Result result) {
  if (auto* s = find(session)) s->send_result(call, std::move(result));
}
void Server::send_rejection(dispatch::SessionId session, dispatch::CallId call, Duration come_back_after) {
  if (auto* s = find(session)) s->send_rejection(call, come_back_after);
}
void Server::send_failure(dispatch::SessionId session, dispatch::CallId call, std::string_view why) {
  if (auto* s = find(session)) s->send_failure(call, why);
}
void Server::attach_quote(dispatch::SessionId session, dispatch::CallId call, const queues::Quote& quote) {
  if (!config_.real.quote_method) return;
  if (auto* s = find(session)) s->attach_quote(call, quote);
}

void Server::send_quote(dispatch::SessionId session, dispatch::CallId call, const queues::Quote& quote) {
  if (auto* s = find(session)) s->send_quote(call, quote);
}

void Server::send_readiness(dispatch::SessionId session, dispatch::CallId call, bool able) {
  if (auto* s = find(session)) s->send_readiness(call, able);
}
void Server::close(dispatch::SessionId session) {
  if (auto* s = find(session)) s->abort("closed by the core");
}

bool Server::close_if_idle(dispatch::SessionId session) {
  auto* s = find(session);
  return s && s->abort_if_idle();
}

void Server::close_after_responses(dispatch::SessionId session) {
  if (auto* s = find(session)) s->close_after_writes();
}

bool Server::has_disconnected(dispatch::SessionId session) {
  const auto* s = find(session);
  return s && s->peer_has_closed();
}

void Server::connect(dispatch::EngineConnectionId link, const config::Endpoint& endpoint, Time deadline) {
  const auto opened = std::make_shared<EngineConnection>(link, endpoint, deadline, config_.real.report_fields,
                                                         inbox_, writer_, manager_.metrics());
  links_.emplace(link, opened);
  dock_.add(opened);
}
void Server::send(dispatch::EngineConnectionId link, dispatch::AttemptTag tag, EngineRequest request) {
  if (auto* l = find(link)) l->send(tag, std::move(request));
}
bool Server::withdraw(dispatch::EngineConnectionId link, dispatch::AttemptTag tag) {
  auto* l = find(link);
  return l && l->withdraw(tag);
}
void Server::cancel(dispatch::EngineConnectionId link, std::string_view id) {
  if (auto* l = find(link)) l->send_command(protocol::encode_stop(id));
}
void Server::ping(dispatch::EngineConnectionId link, std::string_view tag) {
  if (auto* l = find(link)) l->send_command(protocol::encode_hello(tag));
}
void Server::set_priority(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t band) {
  if (auto* l = find(link)) l->send_command(protocol::encode_nice(id, band));
}
void Server::fetch_page(dispatch::EngineConnectionId link, std::string_view id, std::uint32_t page) {
  if (auto* l = find(link)) l->send_command(protocol::encode_fetch(id, page));
}
void Server::release_result(dispatch::EngineConnectionId link, std::string_view id) {
  if (auto* l = find(link)) l->send_command(protocol::encode_end(id));
}
void Server::close(dispatch::EngineConnectionId link) {
  if (auto closed = links_.extract(link)) closed.mapped()->abort();  // the dock may hold it still
}

}  // namespace yokestream::net
