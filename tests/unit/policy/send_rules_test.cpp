// The rules for final answers, idempotency and draining engines, each in the smallest case that fails without
// the rule.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(FinalAnswerRule, AnswersOnceBeforeTheDeadlineWithoutEngines) {
  ManagerHarness manager(make_settings(), {});
  const auto q = manager.arrive(1, 2s);
  manager.pass(2s);
  EXPECT_EQ(manager.finals[q], 1);
  manager.pass(3s);
  EXPECT_EQ(manager.finals[q], 1);
}

TEST(FinalAnswerRule, AnswersAtOnceWhenAnAttemptTimesOutAtTheDeadline) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1, 2s);
  manager.pass(2s);
  EXPECT_EQ(manager.finals[q], 0);
  manager.end(q, Outcome::timed_out, 2s);
  EXPECT_EQ(manager.finals[q], 1);
  EXPECT_EQ(manager.tries(q), 1u);
}

TEST(FinalAnswerRule, IgnoresAnOutcomeAfterTheClientDisconnected) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1);
  manager.feed(ClientDisconnected{q});
  manager.end(q, Outcome::error);
  EXPECT_EQ(manager.tries(q), 1u);
  EXPECT_EQ(manager.finals[q], 0);
}

TEST(FinalAnswerRule, DoesNotWaitForProbesWithLittleTimeLeft) {
  auto s = make_settings();
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  ManagerHarness manager(s);
  manager.pass(10ms);  // between two ticks
  const auto q = manager.arrive(1, 5ms);
  manager.pass(5ms + s.answer_slack);  // no probe is answered meanwhile
  if (manager.tries(q)) manager.end(q, Outcome::timed_out, 5ms);
  EXPECT_EQ(manager.finals[q], 1);
}

TEST(IdempotencyRule, RetriesNonIdempotentQueriesOnlyIfTheyNeverRan) {
  auto c = make_class();
  c.idempotency = Idempotency::non_idempotent;
  ManagerHarness manager(make_settings({c}));
  const auto q = manager.arrive(1);
  manager.end(q, Outcome::unreachable);
  EXPECT_EQ(manager.tries(q), 2u);
  manager.end(q, Outcome::reset);
  EXPECT_EQ(manager.tries(q), 2u);
  EXPECT_EQ(manager.failed[q], 1);  // a rejection would promise that a retry is safe
}

TEST(IdempotencyRule, KeepsKeyedRetriesInTheCellOfTheFirstAttempt) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::cell;
  auto a = engine("a"), b = engine("b"), d = engine("d");
  a.cell = d.cell = CellId{1};
  b.cell = CellId{2};
  for (std::uint64_t id = 1; id <= 12; ++id) {
    ManagerHarness manager(make_settings({c}), {a, b, d});
    for (std::uint64_t k = 1; k < id; ++k) manager.arrive(100 + k);
    const auto q = manager.arrive(id);
    if (!manager.tries(q)) continue;
    manager.end(q, Outcome::reset);
    if (manager.tries(q) < 2) continue;
    EXPECT_EQ(manager.sends[q][0] == "b", manager.sends[q][1] == "b");
  }
}

TEST(IdempotencyRule, KeepsKeyedRetriesInTheZoneOfTheFirstAttempt) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::zone;
  auto a = engine("a"), b = engine("b");
  b.zone = ZoneId{1};
  auto s = make_settings({c});
  s.zones = 2;
  ManagerHarness manager(s, {a, b});
  const auto q = manager.arrive(1);
  manager.end(q, Outcome::reset);
  ASSERT_EQ(manager.tries(q), 2u);
  EXPECT_EQ(manager.sends[q][0], manager.sends[q][1]);
}

TEST(IdempotencyRule, SendsNoKeyedRetryAfterTheDeduplicationWindow) {
  auto c = make_class(10s, 20s);
  c.idempotency = Idempotency::keyed;
  ManagerHarness manager(make_settings({c}));
  const auto q = manager.arrive(1, 20s);
  manager.pass(3100ms);
  manager.end(q, Outcome::reset);
  EXPECT_EQ(manager.tries(q), 1u);
  EXPECT_EQ(manager.refused[q], 1);  // deduplicated everywhere, so a rejection is allowed
}

TEST(IdempotencyRule, RunsOneAttemptAtATime) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1);
  manager.pass(4s);
  EXPECT_EQ(manager.tries(q), 1u);
}

TEST(DrainRule, SendsNothingToADrainingOrGoneEngine) {
  for (const auto state : {EngineState::draining, EngineState::gone}) {
    ManagerHarness manager(make_settings());
    manager.list({engine("a", state)});
    for (std::uint64_t id = 1; id <= 20; ++id) {
      const auto q = manager.arrive(id);
      for (const auto& engine_name : manager.sends[q]) EXPECT_EQ(engine_name, "b");
    }
  }
}

TEST(DrainRule, TreatsAnEngineMissingFromAFullListAsGone) {
  ManagerHarness manager(make_settings());
  manager.list({engine("b")}, EngineListKind::full);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& engine_name : manager.sends[manager.arrive(id)]) EXPECT_EQ(engine_name, "b");
  }
}

TEST(DrainRule, QueuesQueriesWhileTheEngineListIsEmpty) {
  ManagerHarness manager(make_settings());
  manager.list({}, EngineListKind::full);
  const auto q = manager.arrive(1);
  EXPECT_EQ(manager.tries(q), 0u);
  EXPECT_EQ(manager.finals[q], 0);
  manager.list({engine("b")}, EngineListKind::full);
  EXPECT_EQ(manager.tries(q), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
