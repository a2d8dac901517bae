#include "routing/router.h"

#include <xxhash.h>

#include <algorithm>

namespace yokestream::routing {
namespace {

template <class T>
bool matches_list(const std::vector<T>& list, const T& value) {
  return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

bool Origin::contains(const config::Member& member) const {
  return matches_list(zones, member.zone) && matches_list(kinds, member.kind) &&
         matches_list(uids, member.uid) && matches_list(cells, member.cell);
}

void Router::set_movable_areas(const std::vector<TableGroupId>& areas) {
  movable_areas_ = areas;
  std::sort(movable_areas_.begin(), movable_areas_.end());
}

void Router::install(const RouteTable& table) {
  epoch_ = table.epoch;
  origins_ = table.origins;
  rules_.assign(table.rules.begin(), table.rules.end());
  origin_engines_.assign(origins_.size(), {});
  for (const auto& [uid, engine] : engines_) update_origin_sets(engine);
}

// Failure: a new engine gets a slot that an earlier engine set still contains.
// Symptom: requests of an area reach an engine outside its origin.
// Guard: a slot is reused only after retain_engines() dropped its engine, long after that left.
std::uint32_t Router::register_engine(const config::Member& member) {
  const auto [it, is_new] = engines_.try_emplace(member.uid);
  Engine& engine = it->second;
  if (is_new) {
    engine.slot = 0;
    while (engine.slot < policy::kMaxEngineSlots && used_slots_[engine.slot]) ++engine.slot;
    if (engine.slot < policy::kMaxEngineSlots) used_slots_.set(engine.slot);
  }
  // an engine that has left may be reported by its uid alone; it keeps its origins
  if (is_new || member.state != policy::EngineState::removed) engine.member = member;
  update_origin_sets(engine);
  return engine.slot;
}

void Router::update_origin_sets(const Engine& engine) {
  if (engine.slot >= policy::kMaxEngineSlots) return;
  for (std::size_t i = 0; i < origin_engines_.size(); ++i)
    origin_engines_[i].set(engine.slot, origins_[i].contains(engine.member));
}

std::uint32_t Router::slot_of(const std::string& uid) const {
  const auto it = engines_.find(uid);
  return it == engines_.end() ? policy::kMaxEngineSlots : it->second.slot;
}

void Router::retain_engines(const std::function<bool(const std::string&)>& is_known) {
  std::erase_if(engines_, [&](const auto& entry) {
    const bool gone = !is_known(entry.first);
    if (gone) release_slot(entry.second);
    return gone;
  });
}

void Router::release_slot(const Engine& engine) {
  if (engine.slot >= policy::kMaxEngineSlots) return;
  used_slots_.reset(engine.slot);
  for (auto& set : origin_engines_) set.reset(engine.slot);
}

// By the hash of the request id, so that all attempts of a request use the same side under one rule.
Route Router::route(Time now, TableGroupId area, bool idempotent, std::string_view request_id) const {
  if (!std::binary_search(movable_areas_.begin(), movable_areas_.end(), area)) return {};
  const auto it =
      std::lower_bound(rules_.begin(), rules_.end(), area,
                       [](const auto& entry, TableGroupId wanted) { return entry.first < wanted; });
  const bool ruled = it != rules_.end() && it->first == area;
  Route route;
  route.needs_lease = true;
  route.closed = now >= lease_expiry_ || epoch_ < 0;
  if (!ruled) return route;  // no migration concerns the area: any engine
  const Rule& rule = it->second;
  if (!idempotent) {
    route.closed |= rule.loads == Rule::Loads::nowhere;
    route.allowed_engines = &origin_engines_[rule.loads == Rule::Loads::to ? rule.to : rule.from];
  } else {
    route.moved =
        XXH3_64bits(request_id.data(), request_id.size()) % Rule::kAllRequests < rule.moved_requests;
    route.allowed_engines = &origin_engines_[route.moved ? rule.to : rule.from];
  }
  return route;
}

}  // namespace yokestream::routing
