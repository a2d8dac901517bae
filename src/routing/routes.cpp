#include "routing/routes.h"

#include <xxhash.h>

#include <algorithm>

namespace yokestream::routing {
namespace {

template <class T>
bool among(const std::vector<T>& list, const T& value) {
  return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

bool Origin::contains(const config::Member& member) const {
  return among(zones, member.zone) && among(kinds, member.kind) && among(uids, member.uid) &&
         among(cells, member.cell);
}

void Router::set_movable_areas(const std::vector<TableGroupId>& movable) {
  movable_ = movable;
  std::sort(movable_.begin(), movable_.end());
}

void Router::install(const RouteTable& table) {
  epoch_ = table.epoch;
  origins_ = table.origins;
  rules_.assign(table.rules.begin(), table.rules.end());
  sets_.assign(origins_.size(), {});
  for (const auto& [uid, engine] : engines_) place(engine);
}

// Guards against an engine that takes over a slot while a set of before still names it: a slot is given out
// anew only after keep() dropped its engine, long after that went.
std::uint32_t Router::register_engine(const config::Member& member) {
  const auto [it, is_new] = engines_.try_emplace(member.uid);
  Engine& engine = it->second;
  if (is_new) {
    engine.slot = 0;
    while (engine.slot < policy::kMaxEngineSlots && taken_[engine.slot]) ++engine.slot;
    if (engine.slot < policy::kMaxEngineSlots) taken_.set(engine.slot);
  }
  // what is gone may be told of by its uid alone; it stays where it was
  if (is_new || member.state != policy::EngineState::gone) engine.member = member;
  place(engine);
  return engine.slot;
}

void Router::place(const Engine& engine) {
  if (engine.slot >= policy::kMaxEngineSlots) return;
  for (std::size_t i = 0; i < sets_.size(); ++i)
    sets_[i].set(engine.slot, origins_[i].contains(engine.member));
}

std::uint32_t Router::slot_of(const std::string& uid) const {
  const auto it = engines_.find(uid);
  return it == engines_.end() ? policy::kMaxEngineSlots : it->second.slot;
}

void Router::retain_engines(const std::function<bool(const std::string&)>& known) {
  std::erase_if(engines_, [&](const auto& entry) {
    const bool gone = !known(entry.first);
    if (gone) vacate(entry.second);
    return gone;
  });
}

void Router::vacate(const Engine& engine) {
  if (engine.slot >= policy::kMaxEngineSlots) return;
  taken_.reset(engine.slot);
  for (auto& set : sets_) set.reset(engine.slot);
}

// A request stays on its side through all its attempts, as long as the rule does: by its id, not by chance.
Route Router::route(Time now, TableGroupId area, bool repeatable, std::string_view request_id) const {
  if (!std::binary_search(movable_.begin(), movable_.end(), area)) return {};
  const auto it =
      std::lower_bound(rules_.begin(), rules_.end(), area,
                       [](const auto& entry, TableGroupId wanted) { return entry.first < wanted; });
  const bool ruled = it != rules_.end() && it->first == area;
  Route route;
  route.needs_lease = true;
  route.closed = now >= until_ || epoch_ < 0;
  if (!ruled) return route;  // granted, and no duty has said anything of it: any engine
  const Rule& rule = it->second;
  if (!repeatable) {
    route.closed |= rule.loads == Rule::Loads::nowhere;
    route.allowed_engines = &sets_[rule.loads == Rule::Loads::to ? rule.to : rule.from];
  } else {
    route.moved =
        XXH3_64bits(request_id.data(), request_id.size()) % Rule::kAllRequests < rule.moved_requests;
    route.allowed_engines = &sets_[route.moved ? rule.to : rule.from];
  }
  return route;
}

}  // namespace yokestream::routing
