#include "net/engine_port_adapter.h"

#include <utility>

#include "protocol/resp.h"

namespace yokestream::net {

EnginePortAdapter::EnginePortAdapter(const config::RealSettings& settings, DispatcherQueue& events,
                                     Poller& engine_poller, Poller& slow_writer_poller,
                                     dispatch::Dispatcher& dispatcher)
    : settings_(settings),
      events_(events),
      engine_poller_(engine_poller),
      slow_writer_poller_(slow_writer_poller),
      dispatcher_(dispatcher) {}

EngineConnection* EnginePortAdapter::find(dispatch::EngineConnectionId id) {
  const auto found = connections_.find(id);
  return found == connections_.end() ? nullptr : found->second.get();
}

void EnginePortAdapter::write(dispatch::EngineConnectionId id, std::string command) {
  if (auto* connection = find(id)) connection->send_command(std::move(command));
}

void EnginePortAdapter::connect(dispatch::EngineConnectionId id, const config::Endpoint& endpoint,
                                Time deadline) {
  const auto connection = std::make_shared<EngineConnection>(
      id, endpoint, deadline, settings_.report_fields, events_, slow_writer_poller_, dispatcher_.metrics());
  connections_.emplace(id, connection);
  engine_poller_.add(connection);
}

void EnginePortAdapter::send(dispatch::EngineConnectionId id, dispatch::AttemptTag tag,
                             EngineRequest request) {
  if (auto* connection = find(id)) connection->send(tag, std::move(request));
}

bool EnginePortAdapter::withdraw(dispatch::EngineConnectionId id, dispatch::AttemptTag tag) {
  auto* connection = find(id);
  return connection && connection->withdraw(tag);
}

void EnginePortAdapter::cancel(dispatch::EngineConnectionId id, std::string_view request_id) {
  write(id, protocol::encode_stop(request_id));
}

void EnginePortAdapter::ping(dispatch::EngineConnectionId id, std::string_view tag) {
  write(id, protocol::encode_hello(tag));
}

void EnginePortAdapter::set_priority(dispatch::EngineConnectionId id, std::string_view request_id,
                                     std::uint32_t band) {
  write(id, protocol::encode_nice(request_id, band));
}

void EnginePortAdapter::fetch_page(dispatch::EngineConnectionId id, std::string_view request_id,
                                   std::uint32_t page) {
  write(id, protocol::encode_fetch(request_id, page));
}

void EnginePortAdapter::release_result(dispatch::EngineConnectionId id, std::string_view request_id) {
  write(id, protocol::encode_end(request_id));
}

// The poller may share ownership of the connection a little longer.
void EnginePortAdapter::close(dispatch::EngineConnectionId id) {
  if (auto closed = connections_.extract(id)) closed.mapped()->abort();
}

}  // namespace yokestream::net
