// Attempts that draw a bad plan, take too long or lose their answer.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(AttemptWatchdog, CancelsAnAttemptWithABadPlanAndRetriesIt) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  ManagerHarness manager(s);
  const auto q = manager.arrive(1, 5s, 400ms);
  manager.advance(500ms);
  manager.feed(
      AttemptProgress{q, AttemptNumber{0}, {manager.sends[q].front()}, ProgressKind::progress, 0.05});
  ASSERT_EQ(manager.cancels.size(), 1u);
  manager.end_attempt(q, Outcome::cancelled);
  EXPECT_EQ(manager.attempt_count(q), 2u);
}

TEST(AttemptWatchdog, LeavesAnAttemptAloneThatIsNearlyDone) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  ManagerHarness manager(s);
  const auto q = manager.arrive(1, 5s, 1s);
  manager.advance(500ms);
  manager.feed(
      AttemptProgress{q, AttemptNumber{0}, {manager.sends[q].front()}, ProgressKind::progress, 0.45});
  EXPECT_TRUE(manager.cancels.empty());
}

TEST(AttemptWatchdog, CancelsAnAttemptWhoseProgressStopsOnAServingEngine) {
  auto s = make_settings({make_class(8s, 20s)});
  s.kinds = {{64, 0}};
  s.progress_interval = 500ms;
  s.may_cancel = true;
  ManagerHarness manager(s, {make_engine("a")});
  const auto lost = manager.arrive(1, 20s, 2s), runs = manager.arrive(2, 20s, 8s);
  for (int i = 0; i < 3; ++i) {
    manager.advance(500ms);
    manager.feed(AttemptProgress{runs, AttemptNumber{0}, {"a"}, ProgressKind::progress, 0.1 * (i + 1)});
  }
  ASSERT_EQ(manager.cancels.size(), 1u);
  EXPECT_EQ(manager.cancels.front(), lost);
  manager.end_attempt(lost, Outcome::cancelled);
  manager.advance(40ms);
  EXPECT_EQ(manager.attempt_count(lost), 2u);
}

TEST(AttemptWatchdog, CancelsAnAttemptFarPastItsTimeWithGrowingPatience) {
  auto s = make_settings({make_class(20s, 60s)});
  s.may_cancel = true;
  s.kinds = {{64, 0}};
  ManagerHarness manager(s, {make_engine("a")});
  std::uint64_t id = 10;
  const auto others_are_served = [&](int seconds) {
    for (int i = 0; i < seconds; ++i) {
      const auto other = manager.arrive(id++, 60s);
      manager.advance(1s);
      manager.end_attempt(other, Outcome::served, 100ms);
    }
  };
  const auto q = manager.arrive(1, 60s, 1s);
  others_are_served(9);
  EXPECT_TRUE(manager.cancels.empty());
  others_are_served(4);
  ASSERT_EQ(manager.cancels.size(), 1u);
  manager.end_attempt(q, Outcome::cancelled);
  ASSERT_EQ(manager.attempt_count(q), 2u);
  others_are_served(14);
  EXPECT_EQ(manager.cancels.size(), 1u);  // twice the patience
}

TEST(AttemptWatchdog, AllowsForTheScatterOfAClassWithoutEstimates) {
  auto s = make_settings({make_class(1s, 20s)});
  s.may_cancel = true;
  s.progress_interval = 500ms;
  s.kinds = {{64, 0}};
  ManagerHarness manager(s);
  const auto ask = [&](std::uint64_t id) {
    QueryArrived q;
    q.query = QueryId{id};
    q.time_left = 20s;
    manager.feed(q);
    return q.query;
  };
  for (std::uint64_t id = 1; id <= 60; ++id) {  // from 0.1 to 2.5 s
    const auto q = ask(id);
    manager.advance(20ms);
    manager.end_attempt(q, Outcome::served, id % 2 ? 100ms : 2500ms);
  }
  const auto wide = ask(100), bad = ask(101);
  manager.advance(500ms);
  manager.feed(
      AttemptProgress{wide, AttemptNumber{0}, {manager.sends[wide].front()}, ProgressKind::progress, 0.2});
  EXPECT_TRUE(manager.cancels.empty());  // 2.5 s in all, as many do
  manager.feed(
      AttemptProgress{bad, AttemptNumber{0}, {manager.sends[bad].front()}, ProgressKind::progress, 0.005});
  EXPECT_EQ(manager.cancels.size(), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
