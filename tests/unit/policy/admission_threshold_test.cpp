// Rejecting by cost under lasting congestion.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

// A front with one large engine, and queries of which each tenth is ten times as dear.
struct CostScenario {
  static Settings settings() {
    auto s = make_settings({make_class(20s, 40s)});
    s.kinds = {{64, 0}};
    return s;
  }
  // Returns how many were sent; each is served after `took`, or ten times that.
  int play(int n, Duration between, Duration took) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      ++id;
      const auto q = manager.arrive(id, 40s, id % 10 ? 100ms : 1s);
      manager.advance(between);
      if (!manager.attempt_count(q)) continue;
      ++sent;
      manager.end_attempt(q, Outcome::served, id % 10 ? took : 10 * took);
    }
    return sent;
  }
  ManagerHarness manager{settings(), {make_engine("a")}};
  std::uint64_t id = 1;
};

TEST(AdmissionThreshold, RejectsTheCostliestFirstUnderLastingCongestion) {
  CostScenario scenario;
  ManagerHarness& manager = scenario.manager;
  scenario.play(60, 100ms, 100ms);
  EXPECT_EQ(manager.rejections[manager.arrive(++scenario.id, 40s, 1s)], 0);
  scenario.play(80, 100ms, 500ms);  // five times slower, for eight seconds
  const auto dear = manager.arrive(1000, 40s, 1s), cheap = manager.arrive(1001, 40s, 20ms);
  EXPECT_EQ(manager.rejections[dear], 1);
  EXPECT_EQ(manager.rejections[cheap], 0);
}

TEST(AdmissionThreshold, StopsFallingWithoutOutcomes) {
  CostScenario scenario;
  ASSERT_EQ(scenario.play(60, 10ms, 100ms), 60);
  ASSERT_EQ(scenario.play(8, 10ms, 500ms), 8);  // five times slower, and then nothing for a while
  scenario.manager.advance(4s);
  EXPECT_EQ(scenario.manager.rejections[scenario.manager.arrive(++scenario.id, 40s, 300ms)], 0);
}

}  // namespace
}  // namespace yokestream::policy::testing
