// The seven rules, each on the smallest case that breaks when its guard is taken out of may_send().
#include <memory>

#include "bench.h"

namespace yokestream::policy::testing {
namespace {

TEST(RuleNoneLost, NothingToSendToStillEndsOnceBeforeTheDeadline) {
  Front f(make_settings(), {});
  const auto q = f.arrive(1, 2s);
  f.pass(2s);
  EXPECT_EQ(f.finals[q], 1);
  f.pass(3s);
  EXPECT_EQ(f.finals[q], 1);
}

TEST(RuleNoneLost, ATimeOutAtTheDeadlineIsAnsweredAtOnce) {
  Front f(make_settings());
  const auto q = f.arrive(1, 2s);
  f.pass(2s);
  EXPECT_EQ(f.finals[q], 0);
  f.end(q, Outcome::timed_out, 2s);
  EXPECT_EQ(f.finals[q], 1);
  EXPECT_EQ(f.tries(q), 1u);
}

TEST(RuleNoneLost, AnOutcomeAfterTheClientLeftChangesNothing) {
  Front f(make_settings());
  const auto q = f.arrive(1);
  f.feed(ClientDisconnected{q});
  f.end(q, Outcome::error);
  EXPECT_EQ(f.tries(q), 1u);
  EXPECT_EQ(f.finals[q], 0);
}

TEST(RuleNoneLost, AQueryWithLittleTimeLeftDoesNotWaitForProbes) {
  auto s = make_settings();
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  Front f(s);
  f.pass(10ms);  // between two ticks
  const auto q = f.arrive(1, 5ms);
  f.pass(5ms + s.answer_slack);  // no probe is answered
  if (f.tries(q)) f.end(q, Outcome::timed_out, 5ms);
  EXPECT_EQ(f.finals[q], 1);
}

TEST(RuleNoDoubleEffect, UnsafeIsTriedAgainOnlyWhenItNeverRan) {
  auto c = make_class();
  c.idempotency = Idempotency::non_idempotent;
  Front f(make_settings({c}));
  const auto q = f.arrive(1);
  f.end(q, Outcome::unreachable);
  EXPECT_EQ(f.tries(q), 2u);
  f.end(q, Outcome::reset);
  EXPECT_EQ(f.tries(q), 2u);
  EXPECT_EQ(f.failed[q], 1);  // a refusal would promise too much
}

TEST(RuleNoDoubleEffect, KeyedStaysWithItsGroup) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::cell;
  auto a = engine("a"), b = engine("b"), d = engine("d");
  a.cell = d.cell = CellId{1};
  b.cell = CellId{2};
  for (std::uint64_t id = 1; id <= 12; ++id) {
    Front f(make_settings({c}), {a, b, d});
    for (std::uint64_t k = 1; k < id; ++k) f.arrive(100 + k);
    const auto q = f.arrive(id);
    if (!f.tries(q)) continue;
    f.end(q, Outcome::reset);
    if (f.tries(q) < 2) continue;
    EXPECT_EQ(f.sends[q][0] == "b", f.sends[q][1] == "b");
  }
}

TEST(RuleNoDoubleEffect, KeyedStaysWithItsZone) {
  auto c = make_class();
  c.idempotency = Idempotency::keyed;
  c.deduplication_scope = DeduplicationScope::zone;
  auto a = engine("a"), b = engine("b");
  b.zone = ZoneId{1};
  auto s = make_settings({c});
  s.zones = 2;
  Front f(s, {a, b});
  const auto q = f.arrive(1);
  f.end(q, Outcome::reset);
  ASSERT_EQ(f.tries(q), 2u);
  EXPECT_EQ(f.sends[q][0], f.sends[q][1]);
}

TEST(RuleNoDoubleEffect, KeyedIsNotSentOnceForgotten) {
  auto c = make_class(10s, 20s);
  c.idempotency = Idempotency::keyed;
  Front f(make_settings({c}));
  const auto q = f.arrive(1, 20s);
  f.pass(3100ms);
  f.end(q, Outcome::reset);
  EXPECT_EQ(f.tries(q), 1u);
  EXPECT_EQ(f.refused[q], 1);  // group everywhere: a refusal is allowed
}

TEST(RuleNoDoubleEffect, OneAttemptAtATime) {
  Front f(make_settings());
  const auto q = f.arrive(1);
  f.pass(4s);
  EXPECT_EQ(f.tries(q), 1u);
}

TEST(RuleDrains, NothingNewGoesToADrainingOrGoneEngine) {
  for (const auto state : {EngineState::draining, EngineState::gone}) {
    Front f(make_settings());
    f.list({engine("a", state)});
    for (std::uint64_t id = 1; id <= 20; ++id) {
      const auto q = f.arrive(id);
      for (const auto& where : f.sends[q]) EXPECT_EQ(where, "b");
    }
  }
}

TEST(RuleDrains, AnEngineMissingFromAFullListIsGone) {
  Front f(make_settings());
  f.list({engine("b")}, EngineListKind::full);
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& where : f.sends[f.arrive(id)]) EXPECT_EQ(where, "b");
  }
}

TEST(RuleDrains, AnEmptyListHoldsAndALaterOneServes) {
  Front f(make_settings());
  f.list({}, EngineListKind::full);
  const auto q = f.arrive(1);
  EXPECT_EQ(f.tries(q), 0u);
  EXPECT_EQ(f.finals[q], 0);
  f.list({engine("b")}, EngineListKind::full);
  EXPECT_EQ(f.tries(q), 1u);
}

Settings cold_settings() {
  auto s = make_settings({make_class(2s, 10s)});
  s.kinds = {{4, 0}};
  s.slow_start_initial_ratio = 0.25;
  s.slow_start_window = 10s;
  s.cold_overload_multiple = 2;
  s.cold_overload_window = 1s;
  return s;
}

TEST(RuleCold, WorkToAColdEngineStaysUnderItsBudget) {
  const auto s = cold_settings();
  auto a = engine("a");
  Front f(s, {});
  a.start_time = f.now;
  f.list({a});
  for (std::uint64_t id = 1; id <= 200; ++id) {  // one second of short queries, all answered at once
    f.arrive(id, 10s, 100ms);
    while (!f.order.empty()) {
      const auto q = f.order.back();
      f.order.pop_back();
      if (!f.finals[q]) f.end(q, Outcome::served, 100ms);
    }
    f.pass(5ms);
  }
  const double sent = 0.1 * static_cast<double>(f.sends.size());
  EXPECT_GT(sent, 0.2);
  EXPECT_LE(sent, 2 * 0.25 * 4 * 0.85 * 1.1);
}

TEST(RuleCold, ManyFrontsFillItTogetherAndDoNotToppleIt) {
  auto s = cold_settings();
  s.manager_count = 200;
  s.kinds = {{16, 0}};
  auto a = engine("a");
  std::vector<std::unique_ptr<Front>> fronts;
  for (std::uint64_t i = 0; i < s.manager_count; ++i) {
    fronts.push_back(std::make_unique<Front>(s, std::vector<EngineEntry>{}, i + 1));
    a.start_time = fronts[i]->now;
    fronts[i]->list({a});
  }
  std::vector<std::size_t> by_tick;  // sends of all fronts together
  for (std::uint64_t tick = 0; tick < 100; ++tick) {
    std::size_t sends = 0;
    for (auto& f : fronts) {
      const auto before = f->order.size();
      if (tick % 20 == 0) f->arrive(tick + 1, 10s, 100ms);
      f->pass(20ms);
      for (std::size_t k = before; k < f->order.size(); ++k) f->end(f->order[k], Outcome::served), ++sends;
    }
    by_tick.push_back(sends);
  }
  std::size_t all = 0, window = 0, most = 0;
  for (std::size_t i = 0; i < by_tick.size(); ++i) {
    all += by_tick[i];
    window += by_tick[i];
    if (i >= 50) window -= by_tick[i - 50];
    most = std::max(most, window);
  }
  const double limit = 2 * 0.25 * 16 * 0.85 / 0.1;  // queries of 0.1 s that topple it within a second
  EXPECT_LT(static_cast<double>(most), limit);
  EXPECT_GT(static_cast<double>(all), limit / 2);  // in two seconds: about half of what it can do
}

// Seen on the days at size: time taken on crowded engines was counted as work, and new ones stayed empty.
TEST(RuleCold, WhereAnswersTellTheWorkTheRationGoesByItAndNotByTheTimeTaken) {
  auto s = cold_settings();
  s.classes[0].latency_objective = s.classes[0].deadline = 60s;
  s.manager_count = 5;
  s.kinds = {{16, 0}};
  s.reports_cost = true;
  const auto sent_after = [&](Duration took) {
    Front f(s, {engine("a")});
    std::uint64_t id = 1;
    for (; id <= 60; ++id) {
      const auto q = f.arrive(id, 60s, 100ms);
      f.pass(took);
      if (f.tries(q) > 0)
        f.feed(AttemptEnded{q, AttemptNumber{0}, {"a"}, Outcome::served, took, true, {}, 100ms, 64});
    }
    auto cold = engine("b");
    cold.start_time = f.now;
    f.list({engine("a", EngineState::draining), cold});
    f.order.clear();
    std::size_t sent = 0;
    for (int i = 0; i < 200; ++i) {
      f.arrive(id++, 60s, 100ms);
      f.pass(50ms);
      while (!f.order.empty()) {
        const auto q = f.order.back();
        f.order.pop_back();
        f.feed(AttemptEnded{q, AttemptNumber{0}, {"b"}, Outcome::served, took, true, {}, 100ms, 64});
        ++sent;
      }
    }
    return sent;
  };
  const auto usual = sent_after(100ms);
  EXPECT_GE(usual, 4u);
  EXPECT_GE(sent_after(1s) + 1, usual);
}

TEST(RuleCold, ARestartUnderTheSameIdIsCold) {
  const auto s = cold_settings();
  Front f(s, {engine("a")});
  auto again = engine("a");
  again.start_time = f.now;
  f.list({again});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    const auto q = f.arrive(id, 10s, 100ms);
    if (f.tries(q)) ++sent, f.end(q, Outcome::served, 100ms);
  }
  EXPECT_LE(sent, 18u);
}

TEST(RuleOrder, OneAtATimeInOrderAndAfterAPause) {
  auto c = make_class(4s, 8s);
  c.ordered = true;
  auto s = make_settings({c});
  s.order_pause = 500ms;
  Front f(s);
  const OrderKey key{9};
  const auto p = f.arrive(1, 8s, 100ms, 0, key), q = f.arrive(2, 3s, 100ms, 0, key);
  EXPECT_EQ(f.tries(p), 1u);
  EXPECT_EQ(f.tries(q), 0u);
  f.feed(ClientDisconnected{p});  // finished, but its attempt may still run
  f.pass(100ms);
  EXPECT_EQ(f.tries(q), 0u);
  f.end(p, Outcome::timed_out);
  f.pass(400ms);
  EXPECT_EQ(f.tries(q), 0u);
  f.pass(200ms);
  EXPECT_EQ(f.tries(q), 1u);
  EXPECT_EQ(f.tries(f.arrive(3)), 1u);  // no key: not bound
}

TEST(RulePlacement, BoundClassesStayInTheirZonesAndKinds) {
  auto zone = make_class(), kind = make_class();
  zone.allowed_zones = {ZoneId{1}};
  kind.allowed_kinds = {KindId{1}};
  auto s = make_settings({zone, kind});
  s.zones = 2;
  s.kinds = {{4, 0}, {4, 0}};
  auto a = engine("a"), b = engine("b"), d = engine("d");
  b.zone = ZoneId{1};
  d.kind = KindId{1};
  Front f(s, {a, b, d});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    for (const auto& where : f.sends[f.arrive(id, 5s, 100ms, 0)]) EXPECT_EQ(where, "b");
    for (const auto& where : f.sends[f.arrive(100 + id, 5s, 100ms, 1)]) EXPECT_EQ(where, "d");
  }
  f.list({engine("b", EngineState::gone)});
  const auto q = f.arrive(50, 5s, 100ms, 0);
  EXPECT_EQ(f.tries(q), 0u);
  f.pass(5s);
  EXPECT_EQ(f.finals[q], 1);
}

TEST(RuleBudget, FurtherAttemptsStayWithinTheRation) {
  auto s = make_settings();
  s.retry_budget_enabled = true;
  s.retry_budget_min_retries = 2;
  s.retry_budget_ratio = 0.1;
  s.retry_budget_window = 5s;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 10; ++i) engines.push_back(engine("e" + std::to_string(i)));
  Front f(s, engines);
  std::size_t extra = 0;
  for (std::uint64_t id = 1; id <= 10; ++id) {
    const auto q = f.arrive(id);
    f.end(q, Outcome::shed, 1ms);
    extra += f.tries(q) - 1;
  }
  EXPECT_GE(extra, 1u);
  EXPECT_LE(extra, 3u);
}

TEST(RuleAttempts, NeverMoreThanTheCap) {
  Front f(make_settings());
  const auto q = f.arrive(1);
  for (int i = 0; i < 3; ++i) f.end(q, Outcome::error, 1ms);
  EXPECT_EQ(f.tries(q), 3u);
  EXPECT_EQ(f.finals[q], 1);
}

TEST(RuleStream, AStartedAnswerIsLeftToItsEnd) {
  auto c = make_class();
  c.streamed = true;
  Front f(make_settings({c}));
  const auto q = f.arrive(1);
  f.feed(ResponseStarted{q, AttemptNumber{0}, {f.sends[q].front()}});
  f.pass(8s);
  EXPECT_EQ(f.tries(q), 1u);
  EXPECT_EQ(f.finals[q], 0);
}

TEST(Discovery, OnRequestIsFollowedAndAFailureAskedAgain) {
  auto s = make_settings();
  s.engine_list_source = EngineListSource::on_request;
  Front f(s, {});
  EXPECT_EQ(f.follows, 1);
  f.feed(EngineList{EngineListKind::failed, {}});
  f.pass(1s);
  EXPECT_EQ(f.follows, 2);
}

TEST(Refusal, TellsWhenToComeBack) {
  auto s = make_settings();
  s.may_send_retry_after = true;
  s.max_retry_after = 2s;
  Front f(s);
  f.arrive(1, 5s, 60s);
  EXPECT_EQ(f.advice, 2s);
}

}  // namespace
}  // namespace yokestream::policy::testing
