// The rules for final answers, idempotency and draining engines, each in the smallest case that fails without
// the rule.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(FinalAnswerRule, AnswersOnceBeforeTheDeadlineWithoutEngines) {
  ManagerHarness manager(make_settings(), {});
  const auto q = manager.arrive(1, 2s);
  manager.advance(2s);
  EXPECT_EQ(manager.final_answers[q], 1);
  manager.advance(3s);
  EXPECT_EQ(manager.final_answers[q], 1);
}

TEST(FinalAnswerRule, AnswersAtOnceWhenAnAttemptTimesOutAtTheDeadline) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1, 2s);
  manager.advance(2s);
  EXPECT_EQ(manager.final_answers[q], 0);
  manager.end_attempt(q, Outcome::timed_out, 2s);
  EXPECT_EQ(manager.final_answers[q], 1);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

TEST(FinalAnswerRule, IgnoresAnOutcomeAfterTheClientDisconnected) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1);
  manager.feed(ClientDisconnected{q});
  manager.end_attempt(q, Outcome::error);
  EXPECT_EQ(manager.attempt_count(q), 1u);
  EXPECT_EQ(manager.final_answers[q], 0);
}

TEST(FinalAnswerRule, DoesNotWaitForProbesWithLittleTimeLeft) {
  auto s = make_settings();
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  ManagerHarness manager(s);
  manager.advance(10ms);  // between two ticks
  const auto q = manager.arrive(1, 5ms);
  manager.advance(5ms + s.answer_slack);  // no probe is answered meanwhile
  if (manager.attempt_count(q)) manager.end_attempt(q, Outcome::timed_out, 5ms);
  EXPECT_EQ(manager.final_answers[q], 1);
}

TEST(IdempotencyRule, RetriesNonIdempotentQueriesOnlyIfTheyNeverRan) {
  auto c = make_class();
  c.idempotency = Idempotency::non_idempotent;
  ManagerHarness manager(make_settings({c}));
  const auto q = manager.arrive(1);
  manager.end_attempt(q, Outcome::unreachable);
  EXPECT_EQ(manager.attempt_count(q), 2u);
  manager.end_attempt(q, Outcome::reset);
  EXPECT_EQ(manager.attempt_count(q), 2u);
  EXPECT_EQ(manager.failures[q], 1);  // a rejection would promise that a retry is safe
}

TEST(IdempotencyRule, KeepsKeyedRetriesInTheCellOfTheFirstAttempt) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::cell;
  auto a = make_engine("a"), b = make_engine("b"), d = make_engine("d");
  a.cell = d.cell = CellId{1};
  b.cell = CellId{2};
  for (std::uint64_t id = 1; id <= 12; ++id) {
    ManagerHarness manager(make_settings({c}), {a, b, d});
    for (std::uint64_t k = 1; k < id; ++k) manager.arrive(100 + k);
    const auto q = manager.arrive(id);
    if (!manager.attempt_count(q)) continue;
    manager.end_attempt(q, Outcome::reset);
    if (manager.attempt_count(q) < 2) continue;
    EXPECT_EQ(manager.sends[q][0] == "b", manager.sends[q][1] == "b");
  }
}

TEST(IdempotencyRule, KeepsKeyedRetriesInTheZoneOfTheFirstAttempt) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::zone;
  auto a = make_engine("a"), b = make_engine("b");
  b.zone = ZoneId{1};
  auto s = make_settings({c});
  s.zones = 2;
  ManagerHarness manager(s, {a, b});
  const auto q = manager.arrive(1);
  manager.end_attempt(q, Outcome::reset);
  ASSERT_EQ(manager.attempt_count(q), 2u);
  EXPECT_EQ(manager.sends[q][0], manager.sends[q][1]);
}

TEST(IdempotencyRule, SendsNoKeyedRetryAfterTheDeduplicationWindow) {
  auto c = make_class(10s, 20s);
  c.idempotency = Idempotency::keyed;
  ManagerHarness manager(make_settings({c}));
  const auto q = manager.arrive(1, 20s);
  manager.advance(3100ms);
  manager.end_attempt(q, Outcome::reset);
  EXPECT_EQ(manager.attempt_count(q), 1u);
  EXPECT_EQ(manager.rejections[q], 1);  // deduplicated everywhere, so a rejection is allowed
}

TEST(IdempotencyRule, RunsOneAttemptAtATime) {
  ManagerHarness manager(make_settings());
  const auto q = manager.arrive(1);
  manager.advance(4s);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

TEST(DrainRule, SendsNothingToADrainingOrGoneEngine) {
  for (const auto state : {EngineState::draining, EngineState::removed}) {
    ManagerHarness manager(make_settings());
    manager.update_engine_list({make_engine("a", state)});
    for (std::uint64_t id = 1; id <= 20; ++id) {
      const auto q = manager.arrive(id);
      for (const auto& engine_name : manager.sends[q]) EXPECT_EQ(engine_name, "b");
    }
  }
}

TEST(DrainRule, TreatsAnEngineMissingFromAFullListAsGone) {
  ManagerHarness manager(make_settings());
  manager.update_engine_list({make_engine("b")}, EngineListKind::full);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& engine_name : manager.sends[manager.arrive(id)]) EXPECT_EQ(engine_name, "b");
  }
}

TEST(DrainRule, QueuesQueriesWhileTheEngineListIsEmpty) {
  ManagerHarness manager(make_settings());
  manager.update_engine_list({}, EngineListKind::full);
  const auto q = manager.arrive(1);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  EXPECT_EQ(manager.final_answers[q], 0);
  manager.update_engine_list({make_engine("b")}, EngineListKind::full);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
