// Shared by the migration tests: a plan, its JSON, a leader task on its own, and settings of a simulated
// fleet.
#pragma once

#include "base/json.h"
#include "coordination_fixture.h"
#include "migration/migration_task.h"

namespace yokestream::test {

using migration::MigrationRecord;
using migration::MigrationTask;
using migration::OnFail;
using migration::Plan;
using migration::PlanProgress;
using policy::TableGroupId;

inline Plan make_plan(std::size_t areas, Duration hold = 2s) {
  Plan plan;
  plan.name = "south";
  plan.origins["old"].zones = {"a"};
  plan.origins["new"].zones = {"b"};
  for (std::size_t a = 1; a <= areas; ++a) {
    migration::Move move{TableGroupId{a}, "old", "new", {}};
    if (a > 1) move.after = {TableGroupId{a - 1}};  // each area requires the one before
    plan.moves.push_back(move);
  }
  plan.stages = {{0.3, 0.5, hold}, {1, 1, hold}};
  return plan;
}
inline std::string plan_json(const Plan& plan) { return base::write_json(migration::to_json(plan)); }

// The leader's migration task on its own, with a fleet that the test controls.
struct Leader {
  explicit Leader(Plan p, unsigned disabled_guards = 0)
      : plan(std::move(p)), task(3s, 0.01, disabled_guards) {
    fleet.fencing_token = 5;
    join("1");
    join("2");
  }
  void join(const std::string& session) { fleet.members[session] = {"n" + session, "1", 0, {}, {}}; }
  // Runs the task once; true: it wrote a record, which all live sessions but `silent_session` acknowledge at
  // once.
  bool inspect(Duration elapsed = 1s) {
    fleet.now += elapsed;
    const auto draft = task.next_draft(fleet);
    if (!draft) return false;
    for (const auto& request : draft->answered_requests) fleet.operator_requests.erase(request);
    CHECK(task.observe(draft->state, "1"));
    for (auto& [session, member] : fleet.members)
      if (session != silent_session) member.acknowledged_epochs[MigrationTask::kName] = task.record().epoch;
    return true;
  }
  void propose() { fleet.operator_requests["plan/" + plan.name] = plan_json(plan); }
  std::vector<std::size_t> steps() const {
    return task.record().plans.empty() ? std::vector<std::size_t>{} : task.record().plans[0].steps;
  }
  std::string outcome() const {
    const auto it = task.record().outcomes.find("south");
    return it == task.record().outcomes.end() ? "" : it->second;
  }
  Plan plan;
  MigrationTask task;
  coordination::FleetSnapshot fleet{Time(1000s), {}, {}, 0};
  std::string silent_session;
};

inline DutySettings migration_settings(std::size_t processes, std::size_t areas, std::uint64_t seed) {
  DutySettings settings;
  settings.processes = processes;
  settings.seed = seed;
  settings.edges.areas = areas;
  return settings;
}

}  // namespace yokestream::test
