// Attempts that run a bad query plan, take too long or lose their answer.
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

TEST(AttemptWatchdog, KeepsANearlyFinishedAttempt) {
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

TEST(AttemptWatchdog, CancelsAnAttemptWithoutProgressOnARespondingEngine) {
  auto s = make_settings({make_class(8s, 20s)});
  s.kinds = {{64, 0}};
  s.progress_interval = 500ms;
  s.may_cancel = true;
  ManagerHarness manager(s, {make_engine("a")});
  const auto unanswered = manager.arrive(1, 20s, 2s), running = manager.arrive(2, 20s, 8s);
  for (int i = 0; i < 3; ++i) {
    manager.advance(500ms);
    manager.feed(AttemptProgress{running, AttemptNumber{0}, {"a"}, ProgressKind::progress, 0.1 * (i + 1)});
  }
  ASSERT_EQ(manager.cancels.size(), 1u);
  EXPECT_EQ(manager.cancels.front(), unanswered);
  manager.end_attempt(unanswered, Outcome::cancelled);
  manager.advance(40ms);
  EXPECT_EQ(manager.attempt_count(unanswered), 2u);
}

TEST(AttemptWatchdog, CancelsAnAttemptPastItsTimeoutAndDoublesTheNextTimeout) {
  auto s = make_settings({make_class(20s, 60s)});
  s.may_cancel = true;
  s.kinds = {{64, 0}};
  ManagerHarness manager(s, {make_engine("a")});
  std::uint64_t id = 10;
  const auto serve_other_queries = [&](int seconds) {
    for (int i = 0; i < seconds; ++i) {
      const auto other = manager.arrive(id++, 60s);
      manager.advance(1s);
      manager.end_attempt(other, Outcome::served, 100ms);
    }
  };
  const auto q = manager.arrive(1, 60s, 1s);
  serve_other_queries(9);
  EXPECT_TRUE(manager.cancels.empty());
  serve_other_queries(4);
  ASSERT_EQ(manager.cancels.size(), 1u);
  manager.end_attempt(q, Outcome::cancelled);
  ASSERT_EQ(manager.attempt_count(q), 2u);
  serve_other_queries(14);
  EXPECT_EQ(manager.cancels.size(), 1u);  // the second attempt has twice the time
}

TEST(AttemptWatchdog, AllowsForTheSpreadOfAClassWithoutWorkEstimates) {
  auto s = make_settings({make_class(1s, 20s)});
  s.may_cancel = true;
  s.progress_interval = 500ms;
  s.kinds = {{64, 0}};
  ManagerHarness manager(s);
  const auto arrive_without_estimate = [&](std::uint64_t id) {
    QueryArrived q;
    q.query = QueryId{id};
    q.time_left = 20s;
    manager.feed(q);
    return q.query;
  };
  for (std::uint64_t id = 1; id <= 60; ++id) {  // durations of 0.1 and 2.5 s
    const auto q = arrive_without_estimate(id);
    manager.advance(20ms);
    manager.end_attempt(q, Outcome::served, id % 2 ? 100ms : 2500ms);
  }
  const auto typical = arrive_without_estimate(100), bad_plan = arrive_without_estimate(101);
  manager.advance(500ms);
  manager.feed(AttemptProgress{
      typical, AttemptNumber{0}, {manager.sends[typical].front()}, ProgressKind::progress, 0.2});
  EXPECT_TRUE(manager.cancels.empty());  // projected to take 2.5 s, like half of its class
  manager.feed(AttemptProgress{
      bad_plan, AttemptNumber{0}, {manager.sends[bad_plan].front()}, ProgressKind::progress, 0.005});
  EXPECT_EQ(manager.cancels.size(), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
