// What the tests of migrations share: a plan, its JSON, and a fleet on the virtual clock that moves areas.
#pragma once

#include "base/json.h"
#include "duty_fixture.h"
#include "migration/mover.h"

namespace yokestream::test {

using migration::MigrationRecord;
using migration::MigrationTask;
using migration::OnFail;
using migration::Plan;
using migration::PlanProgress;
using policy::TableGroupId;

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

// The owner's side alone, told what it sees.
struct Owner {
  explicit Owner(Plan p, unsigned without = 0) : plan(std::move(p)), mover(3s, 0.01, without) {
    looked.fencing_token = 5;
    live("1"), live("2");
  }
  void live(const std::string& session) { looked.members[session] = {"n" + session, "1", 0, {}, {}}; }
  // One look; true: it wrote. All living sessions but `silent` act on it at once.
  bool look(Duration later = 1s) {
    looked.now += later;
    const auto draft = mover.next_draft(looked);
    if (!draft) return false;
    for (const auto& asked : draft->answered_requests) looked.staff_requests.erase(asked);
    CHECK(mover.observe(draft->state, "1"));
    for (auto& [session, fact] : looked.members)
      if (session != silent) fact.acknowledged_epochs[MigrationTask::kName] = mover.record().epoch;
    return true;
  }
  void propose() { looked.staff_requests["plan/" + plan.name] = text_of(plan); }
  std::vector<std::size_t> steps() const {
    return mover.record().plans.empty() ? std::vector<std::size_t>{} : mover.record().plans[0].steps;
  }
  std::string ended() const {
    const auto it = mover.record().outcomes.find("south");
    return it == mover.record().outcomes.end() ? "" : it->second;
  }
  Plan plan;
  MigrationTask mover;
  coordination::FleetSnapshot looked{Time(1000s), {}, {}, 0};
  std::string silent;
};

inline DutySettings moving(std::size_t processes, std::size_t areas, std::uint64_t seed) {
  DutySettings settings;
  settings.processes = processes;
  settings.seed = seed;
  settings.edges.areas = areas;
  return settings;
}

}  // namespace yokestream::test
