// Duties under random troubles on the virtual clock, and each rule of the checker shown to find its
// violation.
#include "duty_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE("random troubles: one owner, terms that grow, all acknowledged, never more than the whole") {
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
    REQUIRE(well(world));
    CHECK(world.owner().has_value());
    CHECK(table(world)->epoch > 3);
  }
}

// Each rule finds its violation: one guard is left out, and the checker names the rule.
std::string found_without(unsigned guard) {
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

TEST_CASE("clocks whose rates differ by more than is assumed break the rule, and the checker says so") {
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

TEST_CASE("the checker names the rule whose guard is left out") {
  CHECK(found_without(0) == "");
  CHECK(found_without(coordination::Settings::kTerm).rfind("S1", 0) == 0);
  CHECK(found_without(coordination::Settings::kAcknowledged).rfind("S3", 0) == 0);
  CHECK(found_without(coordination::Settings::kExpiry).rfind("sum", 0) == 0);
  CHECK(found_without(coordination::Settings::kFree).rfind("sum", 0) == 0);
}

}  // namespace
}  // namespace yokestream::test
