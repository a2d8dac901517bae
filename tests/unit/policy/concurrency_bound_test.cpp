// How much this manager runs at engines, and the queue before them.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(ConcurrencyBound, SendsQueuedQueriesEarliestDeadlineFirst) {
  ManagerHarness manager(make_settings({make_class(4s, 5s)}), {make_engine("a")});
  std::vector<QueryId> out;
  std::uint64_t id = 1;
  for (; id < 100; ++id) {
    const auto q = manager.arrive(id);
    if (!manager.attempt_count(q)) break;
    out.push_back(q);
  }
  ASSERT_GE(out.size(), 4u);  // at least the cores
  ASSERT_LE(out.size(), 12u);
  const auto later = manager.arrive(200, 4s), sooner = manager.arrive(201, 3s);
  manager.end_attempt(out[0], Outcome::served);
  EXPECT_EQ(manager.attempt_count(sooner), 1u);
  EXPECT_EQ(manager.attempt_count(later), 0u);
}

TEST(ConcurrencyBound, RejectsAQueuedQueryOnceItsEstimateNoLongerFits) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  QueryId held{};
  for (std::uint64_t id = 1; id < 100; ++id) {
    held = manager.arrive(id);
    if (!manager.attempt_count(held)) break;
  }
  ASSERT_EQ(manager.final_answers[held], 0);
  manager.advance(1s);  // the wanted time is over: no answer could be in time
  EXPECT_EQ(manager.rejections[held], 1);
}

TEST(ConcurrencyBound, KeepsToItsShareAmongManyManagers) {
  auto s = make_settings();
  s.manager_count = 4;
  ManagerHarness manager(s, {make_engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 20; ++id) sent += manager.attempt_count(manager.arrive(id));
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 3u);
}

TEST(ConcurrencyBound, CountsMemoryGrants) {
  auto s = make_settings();
  s.kinds = {{64, 1000}};
  ManagerHarness manager(s, {make_engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 40; ++id) {
    QueryArrived q;
    q.query = QueryId{id};
    q.memory_mb = 400;
    q.time_left = 5s;
    q.work = 100ms;
    manager.feed(q);
    sent += manager.attempt_count(q.query);
  }
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 4u);
}

TEST(ConcurrencyBound, TreatsCrowdingByPeersAsPressure) {
  auto s = make_settings();
  s.manager_count = 2;
  s.load_report_source = LoadReportSource::responses;
  s.load_report_fields = {LoadReportField::inflight};
  const auto sent_with = [&](double inflight) {
    ManagerHarness manager(s, {make_engine("a")});
    const auto q = manager.arrive(1);
    AttemptEnded e{q, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {inflight}};
    manager.feed(e);
    std::size_t sent = 0;
    for (std::uint64_t id = 2; id < 30; ++id) sent += manager.attempt_count(manager.arrive(id));
    return sent;
  };
  EXPECT_LT(sent_with(20), sent_with(1));
}

TEST(ConcurrencyBound, GrowsTheShareWhenPeersLeaveEnginesIdle) {
  auto s = make_settings();
  s.manager_count = 4;
  ManagerHarness manager(s, {make_engine("a")});
  std::uint64_t id = 1;
  const auto running = [&] {
    for (int i = 0; i < 20; ++i) manager.arrive(id++);
    std::vector<QueryId> out;
    for (const auto& [q, where] : manager.sends) {
      if (!manager.final_answers[q]) out.push_back(q);
    }
    return out;
  };
  const auto before = running();
  auto out = before;
  for (int round = 0; round < 60; ++round) {  // queries are held here, and what runs is as quick as ever
    for (const auto q : out) manager.end_attempt(q, Outcome::served, 100ms);
    manager.advance(100ms);
    out = running();
  }
  EXPECT_GT(out.size(), before.size() + 1);
}

TEST(ConcurrencyBound, BindsOverAllEnginesWhereAShareIsUnderOneQuery) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 10;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 20; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  const auto sent_after = [&](Duration took) {
    ManagerHarness manager(s, engines);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      const auto q = manager.arrive(id, 8s);
      manager.advance(20ms);
      if (manager.attempt_count(q)) manager.end_attempt(q, Outcome::served, id <= 30 ? 100ms : took);
    }
    std::size_t sent = 0;
    for (std::uint64_t id = 100; id < 140; ++id) sent += manager.attempt_count(manager.arrive(id, 8s));
    return sent;
  };
  EXPECT_GE(sent_after(100ms), 15u);  // 80 cores, a tenth of them: 8 threads, but nothing is pressed
  EXPECT_LE(sent_after(900ms), 10u);
}

TEST(ConcurrencyBound, KeepsASlowPoolInUseWhereAShareHoldsAQuery) {
  auto s = make_settings({make_class(20s, 40s)});
  s.manager_count = 2;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 8; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  ManagerHarness manager(s, engines);
  manager.end_attempt(manager.arrive(2000, 40s, 10s), Outcome::served,
                      10s);  // the dearest seen: no price refuses the rest
  for (std::uint64_t id = 1; id <= 300; ++id) {
    const auto q = manager.arrive(id, 40s);
    manager.advance(20ms);
    if (manager.attempt_count(q))
      manager.end_attempt(q, Outcome::served, id <= 30 ? 100ms : 500ms);  // slow, however little runs
  }
  std::size_t sent = 0;
  for (std::uint64_t id = 1000; id < 1040; ++id) sent += manager.attempt_count(manager.arrive(id, 40s, 50ms));
  EXPECT_GE(sent, 8u);  // one an engine at least
}

}  // namespace
}  // namespace yokestream::policy::testing
