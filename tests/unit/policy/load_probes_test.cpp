// Probes that ask engines for the load of other managers.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(LoadProbes, AvoidsEnginesThatProbesReportAsFull) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 10;
  s.kinds = {{8, 0}};
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  int on_full = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    ManagerHarness manager(s, {make_engine("a"), make_engine("b")}, seed);
    QueryArrived q;
    q.query = QueryId{1};
    q.work = 1s;
    q.time_left = 8s;
    std::vector<std::string> probed;
    for (const Action& a : manager.feed(q)) {
      if (const auto* p = std::get_if<Probe>(&a)) probed.push_back(p->engine.name);
    }
    ASSERT_EQ(probed.size(), 2u);
    EXPECT_EQ(manager.attempt_count(q.query), 0u);  // waits for the probes to be answered
    for (const auto& name : probed)
      manager.feed(ProbeEnded{{name}, Outcome::served, 1ms, {name == "a" ? 30.0 : 1.0}});
    manager.advance(1s);
    ASSERT_EQ(manager.attempt_count(q.query), 1u);
    on_full += manager.sends[q.query].front() == "a";
  }
  EXPECT_EQ(on_full, 0);
}

TEST(LoadProbes, DelaysAQueryByOneTickWhenProbesAreLost) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::responses;
  s.load_report_fields = {LoadReportField::cpu};
  ManagerHarness manager(s);
  const auto q = manager.arrive(1);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.advance(40ms);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

TEST(LoadProbes, SendsNoProbesIfReportsContainNoLoad) {
  auto s = make_settings();
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::queue, LoadReportField::latency_ms};
  ManagerHarness manager(s);
  EXPECT_EQ(manager.attempt_count(manager.arrive(1)), 1u);
}

TEST(LoadProbes, AvoidsAnEngineNearlyOutOfMemory) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 100;
  s.kinds = {{8, 8000}};
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::cpu, LoadReportField::memory};
  const auto sends_with_memory_ratio = [&](double memory_ratio) {
    ManagerHarness manager(s, {make_engine("a")});
    const auto q = manager.arrive(1, 8s);
    manager.feed(ProbeEnded{{"a"}, Outcome::served, 1ms, {0.1, memory_ratio}});
    manager.advance(100ms);
    return manager.attempt_count(q);
  };
  EXPECT_EQ(sends_with_memory_ratio(0.5), 1u);
  EXPECT_EQ(sends_with_memory_ratio(0.97),
            0u);  // grants can't exceed the engine's memory, so a new query would run short
}

TEST(LoadProbes, ReadmitsAnEjectedEngineAfterASuccessfulProbe) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  ManagerHarness manager(s);
  std::uint64_t id = 1;
  const auto answer_probes = [&](const std::vector<Action>& actions, Outcome outcome_of_a) {
    for (const Action& a : actions) {
      if (const auto* p = std::get_if<Probe>(&a))
        manager.feed(
            ProbeEnded{p->engine, p->engine.name == "a" ? outcome_of_a : Outcome::served, 1ms, {1.0}});
    }
  };
  const auto send_query = [&](Outcome outcome_of_a) {
    QueryArrived q;
    q.query = QueryId{id++};
    q.work = 100ms;
    q.time_left = 8s;
    answer_probes(manager.feed(q), outcome_of_a);
    manager.advance(300ms);
    while (manager.attempt_count(q.query) && !manager.final_answers[q.query])
      manager.end_attempt(q.query,
                          manager.sends[q.query].back() == "a" ? Outcome::unreachable : Outcome::served, 5ms);
    return manager.attempt_count(q.query) && manager.sends[q.query].front() == "a";
  };
  for (int i = 0; i < 8; ++i) send_query(Outcome::unreachable);
  int on_a = 0;
  for (int i = 0; i < 6; ++i) on_a += send_query(Outcome::unreachable);
  EXPECT_EQ(on_a, 0);  // refused probes keep it ejected, and no query is sent to it
  for (int i = 0; i < 30; ++i) on_a += send_query(Outcome::served);
  EXPECT_GT(on_a, 0);
}

}  // namespace
}  // namespace yokestream::policy::testing
