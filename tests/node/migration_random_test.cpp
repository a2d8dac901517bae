// Migrations under random faults on the virtual clock, and proof that the checker detects each disabled
// guard.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

// Injects random faults while a chain of areas moves, then stops them.
void run_with_faults(DutyWorld& world, const DutySettings& settings, const Plan& plan,
                     Duration fault_duration) {
  world.propose(plan);
  world.troubles(std::mt19937(static_cast<std::uint32_t>(settings.seed)), 20s, fault_duration, 5s,
                 [](std::size_t) { return 1.0; });
  world.all_well(fault_duration);
}

// Failure: processes are killed, paused, partitioned and slowed at random while a chain of areas moves.
// Expected: no rule of the checker is violated, and the plan finishes once the faults are over.
TEST_CASE("under random faults loads run on one side only, areas move in order, and the plan finishes") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = migration_settings(3 + seed % 5, 3, seed);
    if (seed % 2 == 0) settings.edges.longest = 12s;  // longer than a lease
    DutyWorld world(settings);
    run_with_faults(world, settings, make_plan(3), 300s);
    world.run(700s);
    INFO("seed " << seed << " at " << std::chrono::duration<double>(world.time()).count() << " s");
    REQUIRE(no_violation(world));
    CHECK(world.migrations().outcomes.count("south") == 1);
    CHECK(world.figures().edges.sent > 1000);
  }
}

// Failure: the target fails half of its requests, in addition to the random faults.
// Expected: the gate rolls the plan back, and the old origin serves the areas again.
TEST_CASE("a plan whose target fails half of its requests is rolled back, also under random faults") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto settings = migration_settings(4, 2, seed);
    settings.edges.bad = 0.5;
    Plan plan = make_plan(2);
    plan.gate = migration::Gate{};
    plan.on_fail = OnFail::roll_back;
    DutyWorld world(settings);
    run_with_faults(world, settings, plan, 120s);
    world.run(500s);
    INFO("seed " << seed);
    REQUIRE(no_violation(world));
    CHECK(world.migrations().outcomes.at("south").rfind("went back: served", 0) == 0);
    CHECK(world.migrations().homes.at(TableGroupId{1}).name == "old");
  }
}

std::string violation_without(unsigned guard) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = migration_settings(4, 3, seed);
    settings.edges.without = guard;
    settings.edges.longest = 15s;  // longer than a lease: attempts of a dead process outlive its session
    DutyWorld world(settings);
    run_with_faults(world, settings, make_plan(3, 0s), 300s);
    world.run(400s);
    if (!world.figures().violation.empty()) return world.figures().violation;
  }
  return "";
}

// A process joins, reads the record, and is partitioned before it has published its member record: the leader
// never sees it, but its session lives on for a while.
std::string violation_with_newcomers(unsigned guard) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto settings = migration_settings(4, 8, seed);
    settings.edges.without = guard;
    settings.edges.every = 100ms;
    settings.lost = settings.replies_lost = settings.slow = 0;
    DutyWorld world(settings);
    world.at(3s, [&world] { world.kill(3); });
    world.at(30s, [&world] { world.propose(make_plan(8, 0s)); });
    for (int i = 0; i < 10; ++i) {
      world.at(32s + 10s * i, [&world] { world.start(3); });
      world.at(32s + 10s * i + 1ms * (seed % 40), [&world] { world.cut(3, false, true); });
      world.at(39s + 10s * i, [&world] {
        world.kill(3);
        world.cut(3, true, true);
      });
    }
    world.run(150s);
    if (!world.figures().violation.empty()) return world.figures().violation;
  }
  return "";
}

// Failure: one safety guard of the migration is disabled.
// Expected: the checker reports a violation of S6, and none with all guards enabled.
TEST_CASE("the checker reports the violated rule when a guard is disabled") {
  CHECK(violation_without(0) == "");
  for (const auto guard : {MigrationTask::kAcknowledged, MigrationTask::kMaxAttemptAge,
                           MigrationTask::kPrerequisites, MigrationTask::kStopLoads}) {
    INFO("without guard " << guard);
    CHECK(violation_without(guard).rfind("S6", 0) == 0);
  }
  CHECK(violation_with_newcomers(0) == "");
  CHECK(violation_with_newcomers(MigrationTask::kRoster).rfind("S6", 0) == 0);
}

}  // namespace
}  // namespace yokestream::test
