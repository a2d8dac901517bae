// Shared by the tests of coordination: settings without injected faults, and helpers that read the simulated
// store.
#pragma once

#include <doctest/doctest.h>

#include "helper.h"
#include "standin/duty_world.h"

namespace yokestream::test {

using coordination::FleetMember;
using standin::DutySettings;
using standin::DutyWorld;

inline DutySettings fault_free_settings(std::size_t processes = 3) {
  DutySettings s;
  s.processes = processes;
  s.lost = s.replies_lost = s.slow = s.watch_cut = 0;
  return s;
}
inline bool no_violation(const DutyWorld& world) {
  CHECK(world.figures().violation == "");
  return world.figures().violation.empty();
}
inline store::Range candidates_range() {
  const std::string prefix =
      coordination::StoreKeys("/yokestream").candidates(coordination::FleetMember::kLoadShareTask);
  return {prefix, store::prefix_range_end(prefix), 0};
}
inline std::optional<coordination::LoadShareTable> table(const DutyWorld& world) {
  const auto found = world.store().range({"/yokestream/state/shares", {}, 0});
  return found.empty() ? std::nullopt : coordination::decode_load_share_table(found[0].value);
}

}  // namespace yokestream::test
