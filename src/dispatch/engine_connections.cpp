#include "dispatch/engine_connections.h"

#include <algorithm>
#include <tuple>

namespace yokestream::dispatch {
namespace {

constexpr std::string_view kPingTag = "alive";

// Orders connections by preference, lowest first: the fewest requests in flight, then up before connecting.
std::tuple<std::size_t, bool> rank(const EngineConnection& connection) {
  return {connection.in_flight.size(), !connection.up};
}

}  // namespace

// Failure: a corrupt response or a reset ends all attempts on the connection. Symptom: many requests fail at
// once. Guard: an attempt gets its own connection while the limit allows it, then shares the least used one.
//
// Failure: engines identify requests by the client's id, so a connection that was used for an earlier attempt
// of the request could deliver that attempt's response. Symptom: the response is taken for the new attempt's.
// Guard: such connections are passed in `excluded`.
std::optional<EngineConnectionId> EngineConnections::acquire(Time now, const std::string& uid,
                                                             const EngineRecord& engine,
                                                             const std::vector<EngineConnectionId>& excluded,
                                                             Time connect_deadline) {
  std::optional<EngineConnectionId> least_used_id;
  const EngineConnection* least_used = nullptr;
  for (const auto& [id, connection] : connections_) {
    if (connection.uid != uid || connection.endpoint != engine.endpoint ||
        connection.boot_ms != engine.boot_ms)
      continue;
    if (connection.in_flight.size() >= limits_.streams_per_connection || connection.unanswered_checks > 0)
      continue;
    if (std::find(excluded.begin(), excluded.end(), id) != excluded.end()) continue;
    if (least_used && rank(connection) >= rank(*least_used)) continue;
    least_used = &connection;
    least_used_id = id;
  }
  if (least_used && least_used->in_flight.empty()) return least_used_id;
  if (connections_.size() >= limits_.connections && !close_one_idle()) return least_used_id;
  const EngineConnectionId id{++last_id_};
  connections_.emplace(id, EngineConnection{uid, engine.endpoint, engine.boot_ms, false, {}, now, 0});
  engines_.connect(id, engine.endpoint, connect_deadline);
  return id;
}

bool EngineConnections::close_one_idle() {
  const auto it = std::find_if(connections_.begin(), connections_.end(), [](const auto& entry) {
    return entry.second.up && entry.second.in_flight.empty();
  });
  if (it == connections_.end()) return false;
  engines_.close(it->first);
  connections_.erase(it);
  return true;
}

EngineConnection* EngineConnections::find(EngineConnectionId id) {
  const auto it = connections_.find(id);
  return it == connections_.end() ? nullptr : &it->second;
}

void EngineConnections::add_request(Time now, EngineConnectionId id, const std::string& request_id,
                                    policy::QueryId query) {
  EngineConnection& connection = connections_.at(id);
  if (connection.in_flight.empty()) connection.last_activity = now;
  connection.in_flight.emplace(request_id, query);
}

void EngineConnections::remove_request(Time now, EngineConnectionId id, const std::string& request_id) {
  EngineConnection* connection = find(id);
  if (!connection) return;
  connection->in_flight.erase(request_id);
  if (connection->in_flight.empty()) connection->last_activity = now;
}

// Failure: a connection stays open but is dead, because a response was cut short or the engine's machine was
// disconnected. Symptom: attempts on it run into their timeouts. Guard: a silent connection is pinged,
// because progress reports are seconds apart. Checks are counted instead of time: after a pause of this
// process, data that arrived in the meantime is not handled yet.
std::vector<EngineConnectionId> EngineConnections::check(Time now, const EngineDirectory& directory) {
  std::vector<EngineConnectionId> dead;
  for (auto it = connections_.begin(); it != connections_.end();) {
    EngineConnection& connection = it->second;
    const EngineRecord* engine = directory.find_available(connection.uid);
    const bool current =
        engine && engine->endpoint == connection.endpoint && engine->boot_ms == connection.boot_ms;
    const bool stale = !current || (limits_.idle_timeout > Duration{} &&
                                    now - connection.last_activity >= limits_.idle_timeout);
    if (connection.up && connection.in_flight.empty() && stale) {
      engines_.close(it->first);
      it = connections_.erase(it);
      continue;
    }
    if (connection.up && !connection.in_flight.empty() &&
        now - connection.last_activity >= limits_.check_after) {
      if (connection.unanswered_checks == 0) engines_.ping(it->first, kPingTag);
      if (++connection.unanswered_checks > limits_.max_unanswered_checks) dead.push_back(it->first);
    }
    ++it;
  }
  return dead;
}

}  // namespace yokestream::dispatch
