// What the fleet's duties say of areas: which engines a request may go to, and what follows when that
// changes.
//
// Invariants. A request of an area that is closed is refused at once, never held; one that the module knows
// hears of each change before the module is asked for anything else, and what it chose before is judged again
// as it is sent (attempts.cpp). What was written under an earlier table goes on to its end: the process says
// that it acts on a table only when nothing of that kind is out (S6).
#include <algorithm>

#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {

using policy::EngineSet;

routing::Route Dispatcher::route_of(const RequestReceived& told) const {
  const auto& cls = class_of(told);
  return routes_.route(now_, told.table_group, cls.idempotency == policy::Idempotency::idempotent,
                       told.request_id);
}

std::optional<EngineSet> Dispatcher::eligible(const routing::Route& route) const {
  if (route.closed) return EngineSet{};
  return route.allowed_engines ? std::optional(*route.allowed_engines) : std::nullopt;
}

void Dispatcher::apply_routes(Time now, const routing::RouteTable& table, Time until) {
  step(now);
  if (table.epoch != routes_.epoch()) routes_.install(table);
  routes_.extend_lease(until);
  if (until > now_ && until != Time::max()) at(until, RoutesEnd{});
  tell_routes();
  run_controller();
  if (has_stations()) look_at_stations();
}

void Dispatcher::due(const RoutesEnd&) {
  if (now_ >= routes_.lease_expiry()) tell_routes();
}

// What is queued and not written yet is taken back where it may no longer go; the module hears of the others.
void Dispatcher::tell_routes() {
  if (!routes_.enabled()) return;
  std::vector<policy::QueryId> barred;
  for (auto& [query, request] : requests_) {
    const routing::Route route = route_of(request.told);
    if (request.attempt && bars(route, request.attempt->uid)) barred.push_back(query);
    auto now_eligible = eligible(route);
    if (request.answered || request.eligible == now_eligible) continue;
    request.eligible = std::move(now_eligible);
    tell(policy::EligibilityChanged{query, request.eligible});
  }
  for (const auto query : barred) {
    Request& request = requests_.at(query);
    if (take_back(*request.attempt)) end_attempt(query, request, policy::Outcome::never_sent);
  }
}

bool Dispatcher::bars(const routing::Route& route, const std::string& uid) const {
  if (route.closed) return true;
  if (!route.allowed_engines) return false;
  const std::uint32_t slot = routes_.slot_of(uid);
  return slot >= policy::kMaxEngineSlots || !(*route.allowed_engines)[slot];
}

void Dispatcher::tally(const Request& request, bool served) {
  if (!request.eligible) return;  // no rule, or the module was not asked
  const auto& cls = class_of(request.told);
  const routing::Route route = route_of(request.told);
  if (!route.allowed_engines || cls.idempotency != policy::Idempotency::idempotent) return;
  auto& [left, taken] = tallies_[request.told.table_group];
  routing::OutcomeTally& side = route.moved ? taken : left;
  ++side.total, side.served += served;
  if (!served || !request.told.work || !request.attempt) return;
  const auto us = [](Duration d) { return std::chrono::duration_cast<std::chrono::microseconds>(d).count(); };
  side.elapsed_us += us(request.attempt->took);
  side.estimated_us +=
      us(std::chrono::duration_cast<Duration>(*request.told.work / std::max(1.0, cls.threads)));
}

// The list as the module is to hear it, with the slots by which sets name engines.
policy::EngineList Dispatcher::take_list(const config::MembersEvent& event, bool remembered) {
  policy::EngineList list = directory_.apply(now_, event, remembered);
  for (std::size_t i = 0; i < event.members.size(); ++i)
    list.entries[i].slot = routes_.register_engine(event.members[i]);
  return list;
}

bool Dispatcher::conforms_to_routes() const {
  for (const auto& [query, request] : requests_)
    if (request.attempt && bars(route_of(request.told), request.attempt->uid)) return false;
  return true;
}

}  // namespace yokestream::dispatch
