// Rules of every send: order, placement, retry budget, attempts, streams, the engine list.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(OrderRule, RunsOneAtATimeInOrderAndAfterAPause) {
  auto c = make_class(4s, 8s);
  c.ordered = true;
  auto s = make_settings({c});
  s.order_pause = 500ms;
  ManagerHarness manager(s);
  const OrderKey key{9};
  const auto p = manager.arrive(1, 8s, 100ms, 0, key), q = manager.arrive(2, 3s, 100ms, 0, key);
  EXPECT_EQ(manager.attempt_count(p), 1u);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.feed(ClientDisconnected{p});  // finished, but its attempt may still run
  manager.advance(100ms);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.end_attempt(p, Outcome::timed_out);
  manager.advance(400ms);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.advance(200ms);
  EXPECT_EQ(manager.attempt_count(q), 1u);
  EXPECT_EQ(manager.attempt_count(manager.arrive(3)), 1u);  // no key: not bound
}

TEST(PlacementRule, KeepsClassesInTheirZonesAndKinds) {
  auto zone = make_class(), kind = make_class();
  zone.allowed_zones = {ZoneId{1}};
  kind.allowed_kinds = {KindId{1}};
  auto s = make_settings({zone, kind});
  s.zones = 2;
  s.kinds = {{4, 0}, {4, 0}};
  auto a = make_engine("a"), b = make_engine("b"), d = make_engine("d");
  b.zone = ZoneId{1};
  d.kind = KindId{1};
  ManagerHarness manager(s, {a, b, d});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& where : manager.sends[manager.arrive(id, 5s, 100ms, 0)]) EXPECT_EQ(where, "b");
    for (const auto& where : manager.sends[manager.arrive(100 + id, 5s, 100ms, 1)]) EXPECT_EQ(where, "d");
  }
  manager.update_engine_list({make_engine("b", EngineState::removed)});
  const auto q = manager.arrive(50, 5s, 100ms, 0);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.advance(5s);
  EXPECT_EQ(manager.final_answers[q], 1);
}

TEST(RetryBudgetRule, KeepsRetriesWithinTheBudget) {
  auto s = make_settings();
  s.retry_budget_enabled = true;
  s.retry_budget_min_retries = 2;
  s.retry_budget_ratio = 0.1;
  s.retry_budget_window = 5s;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  ManagerHarness manager(s, engines);
  std::size_t extra = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    const auto q = manager.arrive(id);
    manager.end_attempt(q, Outcome::shed, 1ms);
    extra += manager.attempt_count(q) - 1;
  }
  EXPECT_GE(extra, 1u);
  EXPECT_LE(extra, 3u);
}

TEST(AttemptRule, NeverExceedsTheMaximumOfAttempts) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1);
  for (int i = 0; i < 3; ++i) manager.end_attempt(q, Outcome::error, 1ms);
  EXPECT_EQ(manager.attempt_count(q), 3u);
  EXPECT_EQ(manager.final_answers[q], 1);
}

TEST(StreamRule, LeavesAStartedResponseToItsEnd) {
  auto c = make_class();
  c.streamed = true;
  ManagerHarness manager(make_settings({c}));
  const auto q = manager.arrive(1);
  manager.feed(ResponseStarted{q, AttemptNumber{0}, {manager.sends[q].front()}});
  manager.advance(8s);
  EXPECT_EQ(manager.attempt_count(q), 1u);
  EXPECT_EQ(manager.final_answers[q], 0);
}

TEST(EngineListRule, WatchesTheListOnRequestAndRetriesAFailure) {
  auto s = make_settings();
  s.engine_list_source = EngineListSource::on_request;
  ManagerHarness manager(s, {});
  EXPECT_EQ(manager.engine_list_watches, 1);
  manager.feed(EngineList{EngineListKind::failed, {}});
  manager.advance(1s);
  EXPECT_EQ(manager.engine_list_watches, 2);
}

TEST(RejectionRule, TellsTheClientWhenToRetry) {
  auto s = make_settings();
  s.may_send_retry_after = true;
  s.max_retry_after = 2s;
  ManagerHarness manager(s);
  manager.arrive(1, 5s, 60s);
  EXPECT_EQ(manager.retry_after, 2s);
}

}  // namespace
}  // namespace yokestream::policy::testing
