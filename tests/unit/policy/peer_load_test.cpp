// The estimate of the load of other managers.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

// Settings of one manager of many, whose engines report the number of queries that they run with each answer.
Settings one_of_many_managers() {
  auto s = make_settings({make_class(2s, 8s)});
  s.manager_count = 100;
  s.kinds = {{8, 0}};
  s.load_report_source = LoadReportSource::responses;
  s.load_report_fields = {LoadReportField::inflight};
  return s;
}

void report_load(ManagerHarness& manager, const std::string& engine, double inflight) {
  manager.feed(ProbeEnded{{engine}, Outcome::served, 1ms, {inflight}});
}

// Guards against a mean over answers: busy engines send most of the answers, so idle engines without a recent
// report would be estimated to be as full as the busy ones.
TEST(PeerLoad, CountsEachEngineOnceInTheMeanHoweverOftenItAnswers) {
  std::vector<EngineEntry> all;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) all.push_back(make_engine(name));
  ManagerHarness manager(one_of_many_managers(), all);
  for (const char* name : {"c", "d", "e", "f", "g", "h"}) {
    report_load(manager, name, 4);
    for (int i = 0; i < 20; ++i) report_load(manager, i % 2 ? "a" : "b", 40), manager.advance(10ms);
  }
  manager.advance(5s);  // no report is recent any more
  const auto q = manager.arrive(1, 8s);
  manager.advance(1s);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

TEST(PeerLoad, DiscountsOldReportsOfAFullEngine) {
  ManagerHarness manager(one_of_many_managers(), {make_engine("a"), make_engine("b")});
  for (int i = 0; i < 30; ++i) report_load(manager, i % 2 ? "a" : "b", 40);
  const auto at_once = manager.arrive(1, 8s);
  manager.advance(1s);
  EXPECT_EQ(manager.attempt_count(at_once), 0u);  // the engines are full by their recent reports
  manager.advance(40s);
  const auto later = manager.arrive(2, 8s);
  manager.advance(1s);
  EXPECT_EQ(manager.attempt_count(later), 1u);
}

TEST(PeerLoad, AssumesNoPeerLoadOnAWarmingEngine) {
  auto s = one_of_many_managers();
  s.manager_count = 10;
  s.slow_start_window = 12s;
  s.slow_start_initial_ratio = 0.4;
  s.cold_overload_multiple = 2.5;
  s.cold_overload_window = 3s;
  ManagerHarness manager(s, {make_engine("a")});
  for (int i = 0; i < 30; ++i) report_load(manager, "a", 40);
  auto cold = make_engine("b");
  cold.start_time = manager.now;
  manager.update_engine_list({cold});
  manager.advance(4s);
  report_load(manager, "a", 40);
  const auto q = manager.arrive(1, 8s);
  manager.advance(1s);
  EXPECT_EQ(manager.attempt_count(q), 1u);
}

TEST(PeerLoad, CountsAnnouncedQueriesAndIgnoresMalformedMessages) {
  auto s = make_settings({make_class(4s, 8s)});
  s.kinds = {{4, 1000}};
  s.manager_count = 2;
  s.may_message = true;
  ManagerHarness peer(s), manager(s);
  const auto arrive = [](ManagerHarness& at, std::uint64_t id, double memory,
                         std::vector<std::string>* messages = nullptr) {
    QueryArrived q;
    q.query = QueryId{id};
    q.work = 500ms;
    q.time_left = 8s;
    q.memory_mb = memory;
    for (const Action& a : at.feed(q)) {
      if (const auto* broadcast = std::get_if<BroadcastToPeers>(&a); broadcast && messages)
        messages->push_back(broadcast->payload);
    }
    return q.query;
  };
  std::vector<std::string> messages;
  const auto ending = arrive(peer, 1, 500, &messages);
  arrive(peer, 2, 500, &messages);
  ASSERT_EQ(messages.size(), 2u);
  for (const auto& message : messages) {
    EXPECT_LE(message.size(), 7u);  // every byte costs time at every receiver
    manager.feed(PeerMessage{ManagerId{1}, message});
    for (std::size_t cut = 0; cut < message.size(); ++cut)
      manager.feed(PeerMessage{ManagerId{1}, message.substr(0, cut)});
    manager.feed(PeerMessage{ManagerId{1}, std::string(message.size(), '\xff')});
  }
  const auto big = arrive(manager, 99, 600);  // does not fit beside either of the peer's queries
  EXPECT_EQ(manager.attempt_count(big), 0u);
  EXPECT_EQ(manager.final_answers[big], 0);
  AttemptEnded end{ending, AttemptNumber{0}, {peer.sends[ending].front()}, Outcome::served, 100ms, true, {}};
  for (const Action& a : peer.feed(end)) {
    if (const auto* broadcast = std::get_if<BroadcastToPeers>(&a))
      manager.feed(PeerMessage{ManagerId{1}, broadcast->payload});
  }
  manager.advance(200ms);
  ASSERT_EQ(manager.attempt_count(big), 1u);
  EXPECT_EQ(manager.sends[big].front(), peer.sends[ending].front());
}

}  // namespace
}  // namespace yokestream::policy::testing
