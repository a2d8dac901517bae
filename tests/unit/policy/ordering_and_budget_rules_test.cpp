// Rules that every send keeps: order, placement, retry budget, attempts, streams. Also the engine list and
// rejections.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(OrderRule, RunsOneQueryOfAKeyAtATimeInOrderAndAfterAPause) {
  auto query_class = make_class(4s, 8s);
  query_class.ordered = true;
  auto settings = make_settings({query_class});
  settings.order_pause = 500ms;
  ManagerHarness manager(settings);
  const OrderKey key{9};
  const auto first = manager.arrive(1, 8s, 100ms, 0, key), second = manager.arrive(2, 3s, 100ms, 0, key);
  EXPECT_EQ(manager.attempt_count(first), 1u);
  EXPECT_EQ(manager.attempt_count(second), 0u);
  manager.feed(ClientDisconnected{first});  // finished, but its attempt may still be running
  manager.advance(100ms);
  EXPECT_EQ(manager.attempt_count(second), 0u);
  manager.end_attempt(first, Outcome::timed_out);
  manager.advance(400ms);
  EXPECT_EQ(manager.attempt_count(second), 0u);
  manager.advance(200ms);
  EXPECT_EQ(manager.attempt_count(second), 1u);
  EXPECT_EQ(manager.attempt_count(manager.arrive(3)), 1u);  // no key: not ordered
}

TEST(PlacementRule, SendsClassesOnlyToTheirZonesAndKinds) {
  auto zone = make_class(), kind = make_class();
  zone.allowed_zones = {ZoneId{1}};
  kind.allowed_kinds = {KindId{1}};
  auto settings = make_settings({zone, kind});
  settings.zones = 2;
  settings.kinds = {{4, 0}, {4, 0}};
  auto a = make_engine("a"), b = make_engine("b"), d = make_engine("d");
  b.zone = ZoneId{1};
  d.kind = KindId{1};
  ManagerHarness manager(settings, {a, b, d});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& where : manager.sends[manager.arrive(id, 5s, 100ms, 0)]) EXPECT_EQ(where, "b");
    for (const auto& where : manager.sends[manager.arrive(100 + id, 5s, 100ms, 1)]) EXPECT_EQ(where, "d");
  }
  manager.update_engine_list({make_engine("b", EngineState::removed)});
  const auto query = manager.arrive(50, 5s, 100ms, 0);
  EXPECT_EQ(manager.attempt_count(query), 0u);
  manager.advance(5s);
  EXPECT_EQ(manager.final_answers[query], 1);
}

TEST(RetryBudgetRule, LimitsRetriesToTheBudget) {
  auto settings = make_settings();
  settings.retry_budget_enabled = true;
  settings.retry_budget_min_retries = 2;
  settings.retry_budget_ratio = 0.1;
  settings.retry_budget_window = 5s;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  ManagerHarness manager(settings, engines);
  std::size_t retries = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    const auto query = manager.arrive(id);
    manager.end_attempt(query, Outcome::shed, 1ms);
    retries += manager.attempt_count(query) - 1;
  }
  EXPECT_GE(retries, 1u);
  EXPECT_LE(retries, 3u);
}

TEST(AttemptRule, NeverExceedsMaxAttempts) {
  ManagerHarness manager(make_settings());
  const auto query = manager.arrive(1);
  for (int i = 0; i < 3; ++i) manager.end_attempt(query, Outcome::error, 1ms);
  EXPECT_EQ(manager.attempt_count(query), 3u);
  EXPECT_EQ(manager.final_answers[query], 1);
}

TEST(StreamRule, DoesNotRetryAfterTheResponseHasStarted) {
  auto query_class = make_class();
  query_class.streamed = true;
  ManagerHarness manager(make_settings({query_class}));
  const auto query = manager.arrive(1);
  manager.feed(ResponseStarted{query, AttemptNumber{0}, {manager.sends[query].front()}});
  manager.advance(8s);
  EXPECT_EQ(manager.attempt_count(query), 1u);
  EXPECT_EQ(manager.final_answers[query], 0);
}

TEST(EngineListRule, WatchesTheListOnRequestAndRetriesAfterAFailure) {
  auto settings = make_settings();
  settings.engine_list_source = EngineListSource::on_request;
  ManagerHarness manager(settings, {});
  EXPECT_EQ(manager.engine_list_watches, 1);
  manager.feed(EngineList{EngineListKind::failed, {}});
  manager.advance(1s);
  EXPECT_EQ(manager.engine_list_watches, 2);
}

TEST(RejectionRule, TellsTheClientWhenToRetry) {
  auto settings = make_settings();
  settings.may_send_retry_after = true;
  settings.max_retry_after = 2s;
  ManagerHarness manager(settings);
  manager.arrive(1, 5s, 60s);
  EXPECT_EQ(manager.retry_after, 2s);
}

}  // namespace
}  // namespace yokestream::policy::testing
