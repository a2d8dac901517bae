// What the tests of migrations share: a plan, its JSON, and a fleet on the virtual clock that moves areas.
#pragma once

#include "base/json.h"
#include "duty_fixture.h"
#include "migration/mover.h"

namespace yokestream::test {

using lynxstand::TableGroupId;
using migration::Mover;
using migration::OnFail;
using migration::Plan;

inline Plan a_plan(std::size_t areas, Duration hold = 2s) {
  Plan plan;
  plan.name = "south";
  plan.origins["old"].zones = {"a"};
  plan.origins["new"].zones = {"b"};
  for (std::size_t a = 1; a <= areas; ++a) {
    migration::Move move{TableGroupId{a}, "old", "new", {}};
    if (a > 1) move.after = {TableGroupId{a - 1}};  // a chain
    plan.moves.push_back(move);
  }
  plan.stages = {{0.3, 0.5, hold}, {1, 1, hold}};
  return plan;
}
inline std::string text_of(const Plan& plan) { return base::write_json(migration::to_json(plan)); }

inline DutySettings moving(std::size_t processes, std::size_t areas, std::uint64_t seed) {
  DutySettings settings;
  settings.processes = processes;
  settings.seed = seed;
  settings.edges.areas = areas;
  return settings;
}

}  // namespace yokestream::test
