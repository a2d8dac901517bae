#include "dispatch/route_guard.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

using policy::EngineSet;

std::int64_t to_microseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

}  // namespace

RouteGuard::RouteGuard(const config::Config& config) : config_(config) {
  if (config.fleet.on) router_.set_movable_areas(config.fleet.movable_areas);
}

const policy::ClassSettings& RouteGuard::class_of(const RequestReceived& request) const {
  return config_.settings.classes[static_cast<std::size_t>(request.query_class)];
}

void RouteGuard::apply(const routing::RouteTable& table, Time lease_expiry) {
  if (table.epoch != router_.epoch()) router_.install(table);
  router_.extend_lease(lease_expiry);
}

void RouteGuard::assign_slots(const config::MembersEvent& event, policy::EngineList& list) {
  for (std::size_t i = 0; i < event.members.size(); ++i)
    list.entries[i].slot = router_.register_engine(event.members[i]);
}

void RouteGuard::retain_engines(const std::function<bool(const std::string& uid)>& is_known) {
  router_.retain_engines(is_known);
}

routing::Route RouteGuard::route_of(Time now, const RequestReceived& request) const {
  const bool idempotent = class_of(request).idempotency == policy::Idempotency::idempotent;
  return router_.route(now, request.table_group, idempotent, request.request_id);
}

std::optional<EngineSet> RouteGuard::eligible_engines(const routing::Route& route) {
  if (route.closed) return EngineSet{};
  return route.allowed_engines ? std::optional(*route.allowed_engines) : std::nullopt;
}

bool RouteGuard::excludes(const routing::Route& route, const std::string& engine_uid) const {
  if (route.closed) return true;
  if (!route.allowed_engines) return false;
  const std::uint32_t slot = router_.slot_of(engine_uid);
  return slot >= policy::kMaxEngineSlots || !(*route.allowed_engines)[slot];
}

void RouteGuard::record_outcome(Time now, const Request& request, bool served) {
  if (!request.eligible_engines) return;  // the area has no rule, or the request was never submitted
  const policy::ClassSettings& query_class = class_of(request.received);
  const routing::Route route = route_of(now, request.received);
  if (!route.allowed_engines || query_class.idempotency != policy::Idempotency::idempotent) return;
  auto& [source_side, target_side] = tallies_[request.received.table_group];
  routing::OutcomeTally& side = route.moved ? target_side : source_side;
  ++side.total;
  side.served += served;
  if (!served || !request.received.work || !request.attempt) return;
  side.elapsed_us += to_microseconds(request.attempt->elapsed);
  side.estimated_us += to_microseconds(
      std::chrono::duration_cast<Duration>(*request.received.work / std::max(1.0, query_class.threads)));
}

}  // namespace yokestream::dispatch
