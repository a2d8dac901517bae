// Limits of what this manager runs on engines, and the queue of waiting queries.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(ConcurrencyBound, SendsQueuedQueriesEarliestDeadlineFirst) {
  ManagerHarness manager(make_settings({make_class(4s, 5s)}), {make_engine("a")});
  std::vector<QueryId> running;
  std::uint64_t id = 1;
  for (; id < 100; ++id) {
    const auto query = manager.arrive(id);
    if (!manager.attempt_count(query)) break;
    running.push_back(query);
  }
  ASSERT_GE(running.size(), 4u);  // at least one per core
  ASSERT_LE(running.size(), 12u);
  const auto later = manager.arrive(200, 4s), sooner = manager.arrive(201, 3s);
  manager.end_attempt(running[0], Outcome::served);
  EXPECT_EQ(manager.attempt_count(sooner), 1u);
  EXPECT_EQ(manager.attempt_count(later), 0u);
}

TEST(ConcurrencyBound, RejectsAQueuedQueryThatCanNoLongerMeetItsObjective) {
  ManagerHarness manager(make_settings(), {make_engine("a")});
  QueryId queued{};
  for (std::uint64_t id = 1; id < 100; ++id) {
    queued = manager.arrive(id);
    if (!manager.attempt_count(queued)) break;
  }
  ASSERT_EQ(manager.final_answers[queued], 0);
  manager.advance(1s);  // past the objective
  EXPECT_EQ(manager.rejections[queued], 1);
}

TEST(ConcurrencyBound, LimitsAManagerToItsShare) {
  auto settings = make_settings();
  settings.manager_count = 4;
  ManagerHarness manager(settings, {make_engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 20; ++id) sent += manager.attempt_count(manager.arrive(id));
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 3u);
}

TEST(ConcurrencyBound, LimitsTheSumOfMemoryGrants) {
  auto settings = make_settings();
  settings.kinds = {{64, 1000}};
  ManagerHarness manager(settings, {make_engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 40; ++id) {
    QueryArrived request;
    request.query = QueryId{id};
    request.memory_mb = 400;
    request.time_left = 5s;
    request.work = 100ms;
    manager.feed(request);
    sent += manager.attempt_count(request.query);
  }
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 4u);
}

TEST(ConcurrencyBound, SendsFewerQueriesToAnEngineLoadedByPeers) {
  auto settings = make_settings();
  settings.manager_count = 2;
  settings.load_report_source = LoadReportSource::responses;
  settings.load_report_fields = {LoadReportField::inflight};
  const auto sent_with = [&](double inflight) {
    ManagerHarness manager(settings, {make_engine("a")});
    const auto query = manager.arrive(1);
    manager.feed(AttemptEnded{query, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {inflight}});
    std::size_t sent = 0;
    for (std::uint64_t id = 2; id < 30; ++id) sent += manager.attempt_count(manager.arrive(id));
    return sent;
  };
  EXPECT_LT(sent_with(20), sent_with(1));
}

TEST(ConcurrencyBound, GrowsTheShareWhilePeersLeaveEnginesIdle) {
  auto settings = make_settings();
  settings.manager_count = 4;
  ManagerHarness manager(settings, {make_engine("a")});
  std::uint64_t id = 1;
  const auto fill = [&] {
    for (int i = 0; i < 20; ++i) manager.arrive(id++);
    std::vector<QueryId> running;
    for (const auto& [query, engines] : manager.sends) {
      if (!manager.final_answers[query]) running.push_back(query);
    }
    return running;
  };
  const auto before = fill();
  auto running = before;
  for (int round = 0; round < 60; ++round) {  // queries are queued, and the engine runs at its best speed
    for (const auto query : running) manager.end_attempt(query, Outcome::served, 100ms);
    manager.advance(100ms);
    running = fill();
  }
  EXPECT_GT(running.size(), before.size() + 1);
}

TEST(ConcurrencyBound, LimitsThePoolWhereAShareIsSmallerThanOneQuery) {
  auto settings = make_settings({make_class(4s, 8s)});
  settings.manager_count = 10;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 20; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  const auto sent_after = [&](Duration service_time) {
    ManagerHarness manager(settings, engines);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      const auto query = manager.arrive(id, 8s);
      manager.advance(20ms);
      if (manager.attempt_count(query))
        manager.end_attempt(query, Outcome::served, id <= 30 ? 100ms : service_time);
    }
    std::size_t sent = 0;
    for (std::uint64_t id = 100; id < 140; ++id) sent += manager.attempt_count(manager.arrive(id, 8s));
    return sent;
  };
  EXPECT_GE(sent_after(100ms), 15u);  // the share is 8 of 80 cores, but without pressure no bound applies
  EXPECT_LE(sent_after(900ms), 10u);
}

TEST(ConcurrencyBound, KeepsASlowPoolInUseWhereAShareHoldsAQuery) {
  auto settings = make_settings({make_class(20s, 40s)});
  settings.manager_count = 2;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 8; ++i) engines.push_back(make_engine("e" + std::to_string(i)));
  ManagerHarness manager(settings, engines);
  // This query has the highest cost, so the admission threshold rejects none of the later ones.
  manager.end_attempt(manager.arrive(2000, 40s, 10s), Outcome::served, 10s);
  for (std::uint64_t id = 1; id <= 300; ++id) {
    const auto query = manager.arrive(id, 40s);
    manager.advance(20ms);
    if (manager.attempt_count(query))
      manager.end_attempt(query, Outcome::served, id <= 30 ? 100ms : 500ms);  // slow regardless of the load
  }
  std::size_t sent = 0;
  for (std::uint64_t id = 1000; id < 1040; ++id) sent += manager.attempt_count(manager.arrive(id, 40s, 50ms));
  EXPECT_GE(sent, 8u);  // at least one per engine
}

}  // namespace
}  // namespace yokestream::policy::testing
