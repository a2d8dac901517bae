// Ejection and readmission of engines that fail, become silent or shed queries.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(OutlierDetector, EjectsAFailingEngineAndReadmitsItAfterRecovery) {
  ManagerHarness manager(make_settings());
  std::uint64_t id = 1;
  for (; id < 12; ++id) {
    const auto q = manager.arrive(id);
    while (!manager.final_answers[q])
      manager.end_attempt(q, manager.sends[q].back() == "a" ? Outcome::error : Outcome::served);
  }
  int on_a = 0;
  for (; id < 20; ++id) {
    const auto q = manager.arrive(id);
    on_a += manager.sends[q].front() == "a";
    manager.end_attempt(q, Outcome::served);
  }
  EXPECT_EQ(on_a, 0);
  manager.advance(10s);
  for (; id < 40; ++id) {
    const auto q = manager.arrive(id);
    on_a += manager.sends[q].front() == "a";
    manager.end_attempt(q, Outcome::served);
  }
  EXPECT_GT(on_a, 2);
}

TEST(OutlierDetector, KeepsARespondingEngineWhoseAnswersAreLost) {
  ManagerHarness manager(make_settings());
  for (std::uint64_t id = 1; id < 60; id += 2) {
    const auto lost = manager.arrive(id), other = manager.arrive(id + 1);
    manager.advance(50ms);
    manager.feed(
        AttemptProgress{lost, AttemptNumber{0}, {manager.sends[lost].front()}, ProgressKind::progress, 0.5});
    manager.end_attempt(other, Outcome::served);
    manager.end_attempt(lost, Outcome::timed_out);
    if (!manager.final_answers[lost] && manager.attempt_count(lost) > 1)
      manager.end_attempt(lost, Outcome::served);
  }
  std::set<std::string> used;
  for (std::uint64_t id = 100; id < 102; ++id) used.insert(manager.sends[manager.arrive(id)].front());
  EXPECT_EQ(used.size(), 2u);
}

TEST(OutlierDetector, UsesEjectedEnginesInPanicMode) {
  ManagerHarness manager(make_settings());
  for (std::uint64_t id = 1; id < 20; ++id) {
    const auto q = manager.arrive(id);
    while (!manager.final_answers[q] && manager.attempt_count(q) > 0) {
      const auto before = manager.attempt_count(q);
      manager.end_attempt(q, Outcome::unreachable, 1ms);
      if (manager.attempt_count(q) == before) break;
    }
  }
  EXPECT_EQ(manager.attempt_count(manager.arrive(100)), 1u);  // still sent somewhere
}

TEST(OutlierDetector, CancelsTheQueriesOfASilentEngine) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  ManagerHarness manager(s);
  const auto p = manager.arrive(1, 15s, 4s), q = manager.arrive(2, 15s, 4s);
  for (int i = 0; i < 8; ++i) {
    manager.advance(500ms);
    manager.feed(AttemptProgress{
        q, AttemptNumber{0}, {manager.sends[q].front()}, ProgressKind::progress, 0.12 * (i + 1)});
  }
  EXPECT_NE(std::find(manager.cancels.begin(), manager.cancels.end(), p), manager.cancels.end());
  manager.end_attempt(p, Outcome::cancelled);
  ASSERT_EQ(manager.attempt_count(p), 2u);
  EXPECT_EQ(manager.sends[p].back(), manager.sends[q].front());
}

TEST(OutlierDetector, IgnoresAnswersToSendsFromBeforeTheEjection) {
  auto s = make_settings();
  s.kinds = {{64, 0}};
  ManagerHarness manager(s, {make_engine("a"), make_engine("b"), make_engine("c")});
  std::vector<QueryId> on_a;  // the engine fails most of these and serves one that was sent early
  std::uint64_t id = 1;
  for (; on_a.size() < 6 && id < 60; ++id) {
    const auto q = manager.arrive(id);
    if (manager.attempt_count(q) && manager.sends[q].front() == "a") on_a.push_back(q);
  }
  ASSERT_EQ(on_a.size(), 6u);
  for (int i = 0; i < 5; ++i) manager.end_attempt(on_a[i], Outcome::error, 5ms);
  manager.end_attempt(on_a[5], Outcome::served, 50ms);
  int sends_to_a = 0;
  for (const auto end = id + 10; id < end; ++id) {
    const auto q = manager.arrive(id);
    ASSERT_EQ(manager.attempt_count(q), 1u);
    sends_to_a += manager.sends[q].front() == "a";
  }
  EXPECT_EQ(sends_to_a, 0);
}

TEST(OutlierDetector, BacksOffFromAnEngineThatShedsQueries) {
  auto s = make_settings();
  s.max_attempts = 2;
  ManagerHarness manager(s);
  int shed = 0;
  for (std::uint64_t id = 1; id <= 50; ++id) {  // "a" sheds at once and therefore looks idle
    const auto q = manager.arrive(id);
    while (!manager.final_answers[q]) {
      const bool on_a = manager.sends[q].back() == "a";
      shed += on_a;
      manager.end_attempt(q, on_a ? Outcome::shed : Outcome::served, 1ms);
    }
    manager.advance(10ms);
  }
  EXPECT_GE(shed, 1);
  EXPECT_LE(shed, 5);
}

TEST(OutlierDetector, DropsTheStateOfAnEngineThatIsGoneForLong) {
  const auto tries_after = [](Duration absence) {
    ManagerHarness manager(make_settings(), {make_engine("a")});
    std::uint64_t id = 0;
    for (int i = 0; i < 6; ++i) {  // sheds each time, so its backoff grows
      const auto q = manager.arrive(++id);
      manager.end_attempt(q, Outcome::shed);
      manager.feed(ClientDisconnected{q});
      manager.advance(7s);
    }
    manager.update_engine_list({make_engine("a", EngineState::removed)});
    manager.advance(absence);
    manager.update_engine_list({make_engine("a")});
    const auto q = manager.arrive(++id);
    manager.end_attempt(q, Outcome::shed);
    manager.advance(300ms);
    return manager.attempt_count(q);
  };
  EXPECT_EQ(tries_after(30s), 1u);
  EXPECT_EQ(tries_after(62s), 2u);
}

TEST(OutlierDetector, ProbesARarelyRespondingEngineBeforeEjectingIt) {
  auto s = make_settings({make_class(20s, 60s)});
  s.kinds = {{64, 0}};
  s.may_cancel = true;
  s.may_probe = true;
  const auto cancels = [&](bool probes_are_answered) {
    ManagerHarness manager(s, {make_engine("a")});
    manager.arrive(1, 60s, 1s);
    for (int i = 0; i < 70; ++i) {  // longer than four estimates and the minimum silence limit
      manager.advance(100ms);
      for (const auto& name : manager.probes) {
        if (probes_are_answered) manager.feed(ProbeEnded{{name}, Outcome::served, 1ms, {}});
      }
      manager.probes.clear();
    }
    return manager.cancels.size();
  };
  EXPECT_EQ(cancels(true), 0u);
  EXPECT_EQ(cancels(false), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
