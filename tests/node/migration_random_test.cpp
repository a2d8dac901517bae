// Migrations under random troubles on the virtual clock, and each rule of the checker shown to find its
// violation.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

// Troubles at random while a chain of areas moves; then all is well, and the plan comes to its end.
void play(DutyWorld& world, const DutySettings& settings, const Plan& plan, Duration troubled) {
  world.propose(plan);
  world.troubles(std::mt19937(static_cast<std::uint32_t>(settings.seed)), 20s, troubled, 5s,
                 [](std::size_t) { return 1.0; });
  world.all_well(troubled);
}

TEST_CASE("random troubles: no load on two sides, no area ahead of one it waits for, and the plan ends") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = moving(3 + seed % 5, 3, seed);
    if (seed % 2 == 0) settings.edges.longest = 12s;  // longer than a lease
    DutyWorld world(settings);
    play(world, settings, a_plan(3), 300s);
    world.run(700s);
    INFO("seed " << seed << " at " << std::chrono::duration<double>(world.time()).count() << " s");
    REQUIRE(no_violation(world));
    CHECK(world.migrations().outcomes.count("south") == 1);
    CHECK(world.figures().edges.sent > 1000);
  }
}

TEST_CASE("half of what the new side answers fails: the plan goes back by itself, under troubles too") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    auto settings = moving(4, 2, seed);
    settings.edges.bad = 0.5;
    Plan plan = a_plan(2);
    plan.gate = migration::Gate{};
    plan.on_fail = OnFail::roll_back;
    DutyWorld world(settings);
    play(world, settings, plan, 120s);
    world.run(500s);
    INFO("seed " << seed);
    REQUIRE(no_violation(world));
    CHECK(world.migrations().outcomes.at("south").rfind("went back: served", 0) == 0);
    CHECK(world.migrations().homes.at(TableGroupId{1}).name == "old");
  }
}

std::string violation_without(unsigned guard) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto settings = moving(4, 3, seed);
    settings.edges.without = guard;
    settings.edges.longest = 15s;  // longer than a lease: what a dead process sent outlives its session
    DutyWorld world(settings);
    play(world, settings, a_plan(3, 0s), 300s);
    world.run(400s);
    if (!world.figures().violation.empty()) return world.figures().violation;
  }
  return "";
}

// A process that comes, reads what stands, and is cut off before it has told of itself: the owner never hears
// of it, and it holds its session for a while.
std::string found_with_newcomers(unsigned guard) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    auto settings = moving(4, 8, seed);
    settings.edges.without = guard;
    settings.edges.every = 100ms;
    settings.lost = settings.replies_lost = settings.slow = 0;
    DutyWorld world(settings);
    world.at(3s, [&world] { world.kill(3); });
    world.at(30s, [&world] { world.propose(a_plan(8, 0s)); });
    for (int i = 0; i < 10; ++i) {
      world.at(32s + 10s * i, [&world] { world.start(3); });
      world.at(32s + 10s * i + 1ms * (seed % 40), [&world] { world.cut(3, false, true); });
      world.at(39s + 10s * i, [&world] { world.kill(3), world.cut(3, true, true); });
    }
    world.run(150s);
    if (!world.figures().violation.empty()) return world.figures().violation;
  }
  return "";
}

TEST_CASE("the checker names the rule whose guard is left out") {
  CHECK(violation_without(0) == "");
  for (const auto guard :
       {MigrationTask::kAcknowledged, MigrationTask::kLongest, MigrationTask::kOrder, MigrationTask::kStop}) {
    INFO("without guard " << guard);
    CHECK(violation_without(guard).rfind("S6", 0) == 0);
  }
  CHECK(found_with_newcomers(0) == "");
  CHECK(found_with_newcomers(MigrationTask::kRoster).rfind("S6", 0) == 0);
}

}  // namespace
}  // namespace yokestream::test
