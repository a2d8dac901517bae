// Predicted times, and how outcomes correct them.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(LatencyEstimator, UsesTheEstimatedWorkUntilOutcomesCorrectIt) {
  ManagerHarness manager(make_settings());
  EXPECT_EQ(manager.attempt_count(manager.arrive(1, 5s, 4s)), 1u);  // 4 s fit into 5 s
  const auto late = manager.arrive(2, 5s, 6s);                      // 6 s do not
  EXPECT_EQ(manager.attempt_count(late), 0u);
  EXPECT_EQ(manager.rejections[late], 1);
}

TEST(LatencyEstimator, LearnsTheClassBiasFromOutcomes) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  for (std::uint64_t id = 1; id <= 300; ++id) {  // every query takes three times its estimate
    const auto query = manager.arrive(id, 5s, 100ms);
    ASSERT_EQ(manager.attempt_count(query), 1u);
    manager.advance(300ms);
    manager.end_attempt(query, Outcome::served, 300ms);
  }
  EXPECT_EQ(manager.rejections[manager.arrive(1000, 5s, 2500ms)], 1);
  EXPECT_EQ(manager.attempt_count(manager.arrive(1001, 5s, 1s)), 1u);
}

TEST(LatencyEstimator, DoesNotLearnFromFailedAttempts) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    const auto query = manager.arrive(id, 5s, 100ms);
    manager.end_attempt(query, Outcome::error, 4s);
    if (manager.attempt_count(query) > 1) manager.end_attempt(query, Outcome::served, 100ms);
  }
  manager.advance(8s);
  EXPECT_EQ(manager.attempt_count(manager.arrive(10, 5s, 2s)),
            1u);  // the failures after 4 s did not change the estimate
}

// Guards against a class that rejects everything after one query whose estimate is zero (REPORT-2.md,
// docs/incidents/estimate-of-zero.md).
TEST(LatencyEstimator, ServesAClassAfterAnEstimateOfZero) {
  auto settings = make_settings({make_class(2s, 20s)});
  settings.reports_cost = true;
  for (const Duration estimate : {Duration{}, Duration{1}}) {
    ManagerHarness manager(settings, {make_engine("a")});
    const auto end_attempt = [&](QueryId query) {
      ASSERT_EQ(manager.attempt_count(query), 1u);
      manager.advance(100ms);
      manager.feed(AttemptEnded{query, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {}, 100ms, 64});
    };
    end_attempt(manager.arrive(1, 20s, estimate));
    for (std::uint64_t id = 2; id <= 40; ++id) end_attempt(manager.arrive(id, 20s, 100ms));
  }
}

TEST(LatencyEstimator, CorrectsWorkEstimatesByReportedWork) {
  auto settings = make_settings({make_class(2s, 20s)});
  settings.classes[0].latency_objective_stretch = 2;
  settings.reports_cost = true;
  const auto rejections_after = [&](Duration reported_work) {
    ManagerHarness manager(settings, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 120; ++id) {
      const auto query = manager.arrive(id, 20s, 100ms);
      manager.advance(100ms);
      manager.feed(
          AttemptEnded{query, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {}, reported_work, 64});
    }
    QueryId queued{};
    for (; id <= 160; ++id) queued = manager.arrive(id, 20s, 100ms);
    EXPECT_EQ(manager.attempt_count(queued), 0u);
    manager.advance(3s);
    return manager.rejections[queued];
  };
  EXPECT_EQ(rejections_after(100ms), 1);  // objective 2.2 s
  EXPECT_EQ(rejections_after(1s), 0);     // objective 4 s
}

}  // namespace
}  // namespace yokestream::policy::testing
