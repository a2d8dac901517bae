// What the fleet's duties say of areas: which engines a request may go to, and what follows when that
// changes.
//
// Invariants. A request of an area that is closed is refused at once, never held; one that the module knows
// hears of each change before the module is asked for anything else, and what it chose before is judged again
// as it is sent (attempts.cpp). What was written under an earlier table goes on to its end: the process says
// that it acts on a table only when nothing of that kind is out (S6).
#include <algorithm>

#include "manager/manager.h"

namespace yokestream::manager {

using lynxstand::EngineSet;

routes::Route Manager::route_of(const Arrived& told) const {
  const auto& cls = class_of(told);
  return routes_.find(now_, told.tables, cls.repeatable == lynxstand::Repeatable::always, told.request_id);
}

std::optional<EngineSet> Manager::eligible(const routes::Route& route) const {
  if (route.closed) return EngineSet{};
  return route.among ? std::optional(*route.among) : std::nullopt;
}

void Manager::route(Time now, const routes::Table& table, Time until) {
  step(now);
  if (table.epoch != routes_.epoch()) routes_.swap(table);
  routes_.extend(until);
  if (until > now_ && until != Time::max()) at(until, RoutesEnd{});
  tell_routes();
  run_controller();
  if (has_stations()) look_at_stations();
}

void Manager::due(const RoutesEnd&) {
  if (now_ >= routes_.until()) tell_routes();
}

// What is queued and not written yet is taken back where it may no longer go; the module hears of the others.
void Manager::tell_routes() {
  if (!routes_.on()) return;
  std::vector<lynxstand::QueryId> barred;
  for (auto& [query, request] : requests_) {
    const routes::Route route = route_of(request.told);
    if (request.attempt && bars(route, request.attempt->uid)) barred.push_back(query);
    auto now_eligible = eligible(route);
    if (request.answered || request.eligible == now_eligible) continue;
    request.eligible = std::move(now_eligible);
    tell(lynxstand::EligibleNow{query, request.eligible});
  }
  for (const auto query : barred) {
    Request& request = requests_.at(query);
    if (take_back(*request.attempt)) end_attempt(query, request, lynxstand::Outcome::never_sent);
  }
}

bool Manager::bars(const routes::Route& route, const std::string& uid) const {
  if (route.closed) return true;
  if (!route.among) return false;
  const std::uint32_t slot = routes_.slot(uid);
  return slot >= lynxstand::kMostSlots || !(*route.among)[slot];
}

void Manager::tally(const Request& request, bool served) {
  if (!request.eligible) return;  // no rule, or the module was not asked
  const auto& cls = class_of(request.told);
  const routes::Route route = route_of(request.told);
  if (!route.among || cls.repeatable != lynxstand::Repeatable::always) return;
  auto& [left, taken] = tallies_[request.told.tables];
  routes::Tally& side = route.moved ? taken : left;
  ++side.all, side.served += served;
  if (!served || !request.told.work || !request.attempt) return;
  const auto us = [](Duration d) { return std::chrono::duration_cast<std::chrono::microseconds>(d).count(); };
  side.took_us += us(request.attempt->took);
  side.told_us += us(std::chrono::duration_cast<Duration>(*request.told.work / std::max(1.0, cls.threads)));
}

// The list as the module is to hear it, with the slots by which sets name engines.
lynxstand::EngineList Manager::take_list(const config::MembersEvent& event, bool remembered) {
  lynxstand::EngineList list = directory_.apply(now_, event, remembered);
  for (std::size_t i = 0; i < event.members.size(); ++i)
    list.entries[i].slot = routes_.list(event.members[i]);
  return list;
}

bool Manager::keeps_to_routes() const {
  for (const auto& [query, request] : requests_)
    if (request.attempt && bars(route_of(request.told), request.attempt->uid)) return false;
  return true;
}

}  // namespace yokestream::manager
