// Coordination under random faults on the virtual clock, and proof that the checker detects a violation of
// each rule.
#include "coordination_fixture.h"

namespace yokestream::test {
namespace {

// Failure: processes are killed, paused, partitioned and slowed at random for 15 minutes.
// Expected: the checker finds no violation, and the fleet ends with a leader and new tables.
TEST_CASE("random faults never cause two leaders, decreasing tokens or shares above the whole") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DutySettings settings;
    settings.processes = 3 + seed % 5;
    settings.seed = seed;
    DutyWorld world(settings);
    world.troubles(std::mt19937(static_cast<std::uint32_t>(seed)), 10s, 900s, 4s,
                   [](std::size_t p) { return 1 + 10.0 * static_cast<double>(p); });
    world.all_well(900s);
    world.run(1000s);
    INFO("seed " << seed << " at " << std::chrono::duration<double>(world.time()).count() << " s");
    REQUIRE(no_violation(world));
    CHECK(world.owner().has_value());
    CHECK(table(world)->epoch > 3);
  }
}

// Returns the first violation that the checker finds with one guard disabled; empty: none.
std::string violation_without(unsigned guard) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    DutySettings settings;
    settings.processes = 4;
    settings.seed = seed;
    settings.slow = 0.3;
    settings.duty.disabled_guards = guard;
    DutyWorld world(settings);
    for (int i = 0; i < 40; ++i) {
      const std::size_t p = static_cast<std::size_t>(i) % 4;
      world.at(20s + 20s * i, [&world] {
        if (world.owner()) world.stop(*world.owner());
      });
      world.at(33s + 20s * i, [&world] {
        for (std::size_t q = 0; q < 4; ++q) world.go_on(q);
      });
      world.at(25s + 20s * i, [&world, p, i] { world.traffic(p, 1 + 30 * (i % 3)); });
    }
    world.run(820s);
    if (!world.figures().violation.empty()) return world.figures().violation;
  }
  return "";
}

// Failure: clock rates differ by 40 percent, far beyond Settings::clock_drift.
// Expected: the shares in effect exceed the whole at some time, and the checker reports it.
TEST_CASE("the checker reports excessive shares when clock rates differ by more than the settings allow") {
  DutySettings settings;
  settings.processes = 4;
  settings.rates = 0.4;
  std::string found;
  for (settings.seed = 1; settings.seed <= 20 && found.empty(); ++settings.seed) {
    DutyWorld world(settings);
    for (int i = 0; i < 30; ++i) {
      world.at(20s + 20s * i, [&world] {
        if (world.owner()) world.cut(*world.owner(), false, false);
      });
      world.at(33s + 20s * i, [&world] {
        for (std::size_t p = 0; p < 4; ++p) world.cut(p, true, true);
      });
      world.at(25s + 20s * i,
               [&world, i] { world.traffic(static_cast<std::size_t>(i % 4), 1 + 30 * (i % 3)); });
    }
    world.run(620s);
    found = world.figures().violation;
  }
  CHECK(found.rfind("sum", 0) == 0);
}

// Failure: one guard of the protocol is missing.
// Expected: the checker reports the rule that the guard enforces, and nothing with all guards enabled.
TEST_CASE("the checker reports the rule whose guard is disabled") {
  CHECK(violation_without(0) == "");
  CHECK(violation_without(coordination::Settings::kFencing).rfind("S1", 0) == 0);
  CHECK(violation_without(coordination::Settings::kAcknowledged).rfind("S3", 0) == 0);
  CHECK(violation_without(coordination::Settings::kLeaseExpiry).rfind("sum", 0) == 0);
  CHECK(violation_without(coordination::Settings::kUnallocated).rfind("sum", 0) == 0);
}

}  // namespace
}  // namespace yokestream::test
