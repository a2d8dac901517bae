// Predictions and what outcomes teach of them.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(LatencyEstimator, UsesTheEstimatedWorkUntilOutcomesCorrectIt) {
  ManagerHarness manager(make_settings());
  EXPECT_EQ(manager.attempt_count(manager.arrive(1, 5s, 4s)), 1u);  // 4 s fit 5 s
  const auto late = manager.arrive(2, 5s, 6s);                      // 6 s don't
  EXPECT_EQ(manager.attempt_count(late), 0u);
  EXPECT_EQ(manager.rejections[late], 1);
}

TEST(LatencyEstimator, LearnsTheClassBiasFromOutcomes) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  for (std::uint64_t id = 1; id <= 300; ++id) {  // all work takes three times what is told
    const auto q = manager.arrive(id, 5s, 100ms);
    ASSERT_EQ(manager.attempt_count(q), 1u);
    manager.advance(300ms);
    manager.end_attempt(q, Outcome::served, 300ms);
  }
  EXPECT_EQ(manager.rejections[manager.arrive(1000, 5s, 2500ms)], 1);
  EXPECT_EQ(manager.attempt_count(manager.arrive(1001, 5s, 1s)), 1u);
}

TEST(LatencyEstimator, IgnoresTimeoutsAsSamples) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    const auto q = manager.arrive(id, 5s, 100ms);
    manager.end_attempt(q, Outcome::error, 4s);
    if (manager.attempt_count(q) > 1) manager.end_attempt(q, Outcome::served, 100ms);
  }
  manager.advance(8s);
  EXPECT_EQ(manager.attempt_count(manager.arrive(10, 5s, 2s)),
            1u);  // 4 s of error left no trace in the estimate
}

TEST(LatencyEstimator, CorrectsTheObjectiveByReportedWork) {
  auto s = make_settings({make_class(2s, 20s)});
  s.classes[0].latency_objective_stretch = 2;
  s.reports_cost = true;
  const auto refused_after = [&](Duration needed) {
    ManagerHarness manager(s, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 120; ++id) {
      const auto q = manager.arrive(id, 20s, 100ms);
      manager.advance(100ms);
      manager.feed(AttemptEnded{q, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {}, needed, 64});
    }
    QueryId held{};
    for (; id <= 160; ++id) held = manager.arrive(id, 20s, 100ms);
    EXPECT_EQ(manager.attempt_count(held), 0u);
    manager.advance(3s);
    return manager.rejections[held];
  };
  EXPECT_EQ(refused_after(100ms), 1);  // wanted within 2.2 s
  EXPECT_EQ(refused_after(1s), 0);     // within 4 s
}

}  // namespace
}  // namespace yokestream::policy::testing
