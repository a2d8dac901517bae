#include "dispatch/engine_directory.h"

#include <algorithm>
#include <set>

namespace yokestream::dispatch {
namespace {

constexpr Duration kForgetAfter = std::chrono::seconds(60);

// An unknown name gets a position past the end: the module then knows nothing of it.
template <class Id>
Id position(const std::vector<std::string>& names, const std::string& name) {
  return Id{static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin())};
}

}  // namespace

// Guards the memory where new engines replace old ones under new names for good. One that comes back soon is
// still known, and its start maps to the same time.
void EngineDirectory::forget(Time now) {
  std::erase_if(engines_, [&](const auto& known) {
    const auto& [uid, record] = known;
    if (!record.gone_since || now - *record.gone_since < kForgetAfter) return false;
    starts_.forget(uid);
    const auto owner = owners_.find(record.endpoint);
    if (owner != owners_.end() && owner->second == uid) owners_.erase(owner);
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

void EngineDirectory::note_gone(EngineRecord& record, Time now) {
  if (record.state != policy::EngineState::gone)
    record.gone_since.reset();
  else if (!record.gone_since)
    record.gone_since = now;
}

policy::EngineList EngineDirectory::apply(Time now, const config::MembersEvent& event, bool remembered) {
  policy::EngineList list;
  list.kind = remembered    ? policy::EngineListKind::cached
              : event.whole ? policy::EngineListKind::full
                            : policy::EngineListKind::delta;
  if (event.whole) {
    std::set<std::string> named;
    for (const auto& member : event.members) named.insert(member.uid);
    for (auto& [uid, record] : engines_) {
      if (!named.count(uid)) record.state = policy::EngineState::gone;
      note_gone(record, now);
    }
  }
  for (const auto& member : event.members) {
    EngineRecord& record = engines_[member.uid];
    record.state = member.state;
    note_gone(record, now);
    record.boot_ms = member.boot_ms;
    if (member.endpoint) record.endpoint = *member.endpoint;
    if (member.endpoint && member.state == policy::EngineState::up) claim(*member.endpoint, member);
    policy::EngineEntry entry;
    entry.engine.name = member.uid;
    entry.zone = position<policy::ZoneId>(names_.zones, member.zone);
    entry.kind = record.kind = position<policy::KindId>(names_.kinds, member.kind);
    entry.cell = policy::CellId{member.cell};
    entry.state = member.state;
    entry.weight = member.weight;
    const bool news = !remembered && !event.whole;
    if (member.boot_ms > 0) entry.start_time = starts_.started(now, member.uid, member.boot_ms, news);
    list.entries.push_back(std::move(entry));
  }
  return list;
}

// A new engine may have the address of one that has gone, told before or after the end of the old one. What
// is meant for the old one must not reach the new one, so an address belongs to the one that started last.
void EngineDirectory::claim(const config::Endpoint& endpoint, const config::Member& member) {
  auto& owner = owners_[endpoint];
  const auto holder = engines_.find(owner);
  const bool held = holder != engines_.end() && holder->second.state == policy::EngineState::up &&
                    holder->second.endpoint == endpoint;
  if (!held || holder->second.boot_ms <= member.boot_ms) owner = member.uid;
}

std::size_t EngineDirectory::listed() const {
  return static_cast<std::size_t>(std::count_if(engines_.begin(), engines_.end(), [](const auto& known) {
    return known.second.state != policy::EngineState::gone;
  }));
}

const EngineRecord* EngineDirectory::find_available(const std::string& uid) const {
  const auto it = engines_.find(uid);
  if (it == engines_.end() || it->second.state != policy::EngineState::up) return nullptr;
  const auto owner = owners_.find(it->second.endpoint);
  return owner != owners_.end() && owner->second == uid ? &it->second : nullptr;
}

}  // namespace yokestream::dispatch
