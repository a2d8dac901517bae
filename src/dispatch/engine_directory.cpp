#include "dispatch/engine_directory.h"

#include <algorithm>
#include <set>

namespace yokestream::dispatch {
namespace {

constexpr Duration kForgetGoneAfter = std::chrono::seconds(60);

// An unknown name is mapped to the position past the end, for which the decision module has no settings.
template <class Id>
Id position(const std::vector<std::string>& names, const std::string& name) {
  return Id{static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin())};
}

}  // namespace

// Failure: engines are continuously replaced by engines with new names. Symptom: memory grows without bound.
// Guard: an engine is removed after it has been gone for kForgetGoneAfter. An engine that returns earlier is
// still known, and its start is converted to the same time.
void EngineDirectory::forget_gone(Time now) {
  std::erase_if(engines_, [&](const auto& entry) {
    const auto& [uid, record] = entry;
    if (!record.gone_since || now - *record.gone_since < kForgetGoneAfter) return false;
    start_times_.forget(uid);
    const auto owner = uid_of_endpoint_.find(record.endpoint);
    if (owner != uid_of_endpoint_.end() && owner->second == uid) uid_of_endpoint_.erase(owner);
    return true;
  });
}

double EngineDirectory::cores_up(const std::vector<policy::KindSettings>& kinds) const {
  double cores = 0;
  for (const auto& [uid, record] : engines_) {
    const auto kind = static_cast<std::size_t>(record.kind);
    if (record.state == policy::EngineState::up && kind < kinds.size()) cores += kinds[kind].cores;
  }
  return cores;
}

void EngineDirectory::update_gone_since(EngineRecord& record, Time now) {
  if (record.state != policy::EngineState::removed)
    record.gone_since.reset();
  else if (!record.gone_since)
    record.gone_since = now;
}

policy::EngineList EngineDirectory::apply(Time now, const config::MembersEvent& event, bool cached) {
  policy::EngineList list;
  list.kind = cached        ? policy::EngineListKind::cached
              : event.whole ? policy::EngineListKind::full
                            : policy::EngineListKind::delta;
  if (event.whole) {
    std::set<std::string> listed;
    for (const auto& member : event.members) listed.insert(member.uid);
    for (auto& [uid, record] : engines_) {
      if (!listed.count(uid)) record.state = policy::EngineState::removed;
      update_gone_since(record, now);
    }
  }
  for (const auto& member : event.members) {
    EngineRecord& record = engines_[member.uid];
    record.state = member.state;
    update_gone_since(record, now);
    record.boot_ms = member.boot_ms;
    if (member.endpoint) record.endpoint = *member.endpoint;
    if (member.endpoint && member.state == policy::EngineState::up)
      update_endpoint_owner(*member.endpoint, member);
    policy::EngineEntry entry;
    entry.engine.name = member.uid;
    entry.zone = position<policy::ZoneId>(names_.zones, member.zone);
    record.kind = position<policy::KindId>(names_.kinds, member.kind);
    entry.kind = record.kind;
    entry.cell = policy::CellId{member.cell};
    entry.state = member.state;
    entry.weight = member.weight;
    const bool is_change = !cached && !event.whole;
    if (member.boot_ms > 0)
      entry.start_time = start_times_.start_time(now, member.uid, member.boot_ms, is_change);
    list.entries.push_back(std::move(entry));
  }
  return list;
}

// Failure: a new engine gets the address of an engine that has gone, and is listed before or after the
// removal of the old one. Symptom: the new engine receives requests for the old one. Guard: an address
// belongs to the engine that started last.
void EngineDirectory::update_endpoint_owner(const config::Endpoint& endpoint, const config::Member& member) {
  auto& owner = uid_of_endpoint_[endpoint];
  const auto current = engines_.find(owner);
  const bool in_use = current != engines_.end() && current->second.state == policy::EngineState::up &&
                      current->second.endpoint == endpoint;
  if (!in_use || current->second.boot_ms <= member.boot_ms) owner = member.uid;
}

std::size_t EngineDirectory::listed_count() const {
  return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [](const auto& entry) {
    return entry.second.state != policy::EngineState::removed;
  }));
}

const EngineRecord* EngineDirectory::find_available(const std::string& uid) const {
  const auto it = engines_.find(uid);
  if (it == engines_.end() || it->second.state != policy::EngineState::up) return nullptr;
  const auto owner = uid_of_endpoint_.find(it->second.endpoint);
  return owner != uid_of_endpoint_.end() && owner->second == uid ? &it->second : nullptr;
}

}  // namespace yokestream::dispatch
