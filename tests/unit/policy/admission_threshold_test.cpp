// Rejection by cost under sustained congestion.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

// A manager with one large engine. Every tenth query costs ten times as much as the others.
struct CostScenario {
  static Settings settings() {
    auto settings = make_settings({make_class(20s, 40s)});
    settings.kinds = {{64, 0}};
    return settings;
  }
  // Lets `count` queries arrive at this interval and serves each after `service_time`, or ten times that.
  // Returns how many were sent.
  int run(int count, Duration interval, Duration service_time) {
    int sent = 0;
    for (int i = 0; i < count; ++i) {
      ++id;
      const auto query = manager.arrive(id, 40s, id % 10 ? 100ms : 1s);
      manager.advance(interval);
      if (!manager.attempt_count(query)) continue;
      ++sent;
      manager.end_attempt(query, Outcome::served, id % 10 ? service_time : 10 * service_time);
    }
    return sent;
  }
  ManagerHarness manager{settings(), {make_engine("a")}};
  std::uint64_t id = 1;
};

TEST(AdmissionThreshold, RejectsTheMostExpensiveFirstUnderSustainedCongestion) {
  CostScenario scenario;
  ManagerHarness& manager = scenario.manager;
  scenario.run(60, 100ms, 100ms);
  EXPECT_EQ(manager.rejections[manager.arrive(++scenario.id, 40s, 1s)], 0);
  scenario.run(80, 100ms, 500ms);  // five times slower, for 8 s
  const auto expensive = manager.arrive(1000, 40s, 1s), cheap = manager.arrive(1001, 40s, 20ms);
  EXPECT_EQ(manager.rejections[expensive], 1);
  EXPECT_EQ(manager.rejections[cheap], 0);
}

TEST(AdmissionThreshold, StopsFallingWithoutOutcomes) {
  CostScenario scenario;
  ASSERT_EQ(scenario.run(60, 10ms, 100ms), 60);
  ASSERT_EQ(scenario.run(8, 10ms, 500ms), 8);  // five times slower, then no outcomes for 4 s
  scenario.manager.advance(4s);
  EXPECT_EQ(scenario.manager.rejections[scenario.manager.arrive(++scenario.id, 40s, 300ms)], 0);
}

}  // namespace
}  // namespace yokestream::policy::testing
