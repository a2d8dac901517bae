// The ordinary path, health, and failures found on the bench, each as a small case.
#include "bench.h"

namespace yokestream::policy::testing {
namespace {

TEST(Estimate, TakesTheToldWorkUntilOutcomesSayMore) {
  Front f(make_settings());
  EXPECT_EQ(f.tries(f.arrive(1, 5s, 4s)), 1u);  // 4 s fit 5 s
  const auto late = f.arrive(2, 5s, 6s);        // 6 s don't
  EXPECT_EQ(f.tries(late), 0u);
  EXPECT_EQ(f.refused[late], 1);
}

TEST(Estimate, LearnsTheClassBiasFromOutcomes) {
  Front f(make_settings(), {engine("a")});
  for (std::uint64_t id = 1; id <= 300; ++id) {  // all work takes three times what is told
    const auto q = f.arrive(id, 5s, 100ms);
    ASSERT_EQ(f.tries(q), 1u);
    f.pass(300ms);
    f.end(q, Outcome::served, 300ms);
  }
  EXPECT_EQ(f.refused[f.arrive(1000, 5s, 2500ms)], 1);
  EXPECT_EQ(f.tries(f.arrive(1001, 5s, 1s)), 1u);
}

TEST(Estimate, TimeOutsAreNoSamples) {
  Front f(make_settings(), {engine("a")});
  for (std::uint64_t id = 1; id <= 2; ++id) {
    const auto q = f.arrive(id, 5s, 100ms);
    f.end(q, Outcome::error, 4s);
    if (f.tries(q) > 1) f.end(q, Outcome::served, 100ms);
  }
  f.pass(8s);
  EXPECT_EQ(f.tries(f.arrive(10, 5s, 2s)), 1u);  // 4 s of error left no trace in the estimate
}

TEST(Choice, AnIdleEngineTakesTheNext) {
  Front f(make_settings(), {engine("a"), engine("b"), engine("c")});
  std::set<std::string> used;
  for (std::uint64_t id = 1; id <= 3; ++id) used.insert(f.sends[f.arrive(id)].front());
  EXPECT_EQ(used.size(), 3u);
}

TEST(Choice, AnEngineLearnedToBeSlowIsAvoided) {
  Front f(make_settings());
  for (std::uint64_t id = 1; id <= 400; id += 2) {
    const auto p = f.arrive(id), q = f.arrive(id + 1);
    f.pass(200ms);
    for (const auto x : {p, q}) f.end(x, Outcome::served, f.sends[x].front() == "a" ? 800ms : 100ms);
  }
  const auto first = f.arrive(1001), second = f.arrive(1002);  // one on each
  int on_b = 0;
  for (std::uint64_t id = 1003; id <= 1004; ++id) on_b += f.sends[f.arrive(id)].front() == "b";
  EXPECT_NE(f.sends[first].front(), f.sends[second].front());
  EXPECT_EQ(on_b, 2);
}

TEST(Bound, HeldQueriesLeaveEarliestDeadlineFirst) {
  Front f(make_settings({make_class(4s, 5s)}), {engine("a")});
  std::vector<QueryId> out;
  std::uint64_t id = 1;
  for (; id < 100; ++id) {
    const auto q = f.arrive(id);
    if (!f.tries(q)) break;
    out.push_back(q);
  }
  ASSERT_GE(out.size(), 4u);  // at least the cores
  ASSERT_LE(out.size(), 12u);
  const auto later = f.arrive(200, 4s), sooner = f.arrive(201, 3s);
  f.end(out[0], Outcome::served);
  EXPECT_EQ(f.tries(sooner), 1u);
  EXPECT_EQ(f.tries(later), 0u);
}

TEST(Bound, AHeldQueryIsRefusedOnceItsEstimateNoLongerFits) {
  Front f(make_settings(), {engine("a")});
  QueryId held{};
  for (std::uint64_t id = 1; id < 100; ++id) {
    held = f.arrive(id);
    if (!f.tries(held)) break;
  }
  ASSERT_EQ(f.finals[held], 0);
  f.pass(1s);  // the wanted time is over: no answer could be in time
  EXPECT_EQ(f.refused[held], 1);
}

TEST(Bound, AFrontAmongManyKeepsToItsPart) {
  auto s = make_settings();
  s.manager_count = 4;
  Front f(s, {engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 20; ++id) sent += f.tries(f.arrive(id));
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 3u);
}

TEST(Bound, MemoryIsCountedToo) {
  auto s = make_settings();
  s.kinds = {{64, 1000}};
  Front f(s, {engine("a")});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id < 40; ++id) {
    QueryArrived q;
    q.query = QueryId{id};
    q.memory_mb = 400;
    q.time_left = 5s;
    q.work = 100ms;
    f.feed(q);
    sent += f.tries(q.query);
  }
  EXPECT_GE(sent, 1u);
  EXPECT_LE(sent, 4u);
}

TEST(Loads, AQueryDoesNotGoBehindALoadOnItsTables) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  Front f(make_settings({reader, load}), {engine("a"), engine("b")});
  const auto l = f.arrive(1, 20s, 2s, 1);
  int behind = 0;
  for (std::uint64_t id = 2; id < 8; ++id) {
    const auto q = f.arrive(id, 5s, 100ms, 0);
    behind += f.tries(q) && f.sends[q].front() == f.sends[l].front();
  }
  EXPECT_EQ(behind, 0);
}

TEST(Loads, APeersLoadIsHeededAndItsEndToo) {
  auto reader = make_class(), load = make_class(3s, 20s);
  reader.waits_for_table_group = true;
  load.locks_table_group = true;
  auto s = make_settings({reader, load});
  s.manager_count = 2;
  s.may_message = true;
  Front peer(s), f(s);
  std::string begin;
  QueryArrived told;
  told.query = QueryId{1};
  told.query_class = ClassId{1};
  told.work = 2s;
  told.time_left = 20s;
  for (const Action& a : peer.feed(told)) {
    if (const auto* t = std::get_if<BroadcastToPeers>(&a)) begin = t->payload;
  }
  ASSERT_FALSE(begin.empty());
  const std::string where = peer.sends[told.query].front();
  f.feed(PeerMessage{ManagerId{1}, begin});
  f.feed(PeerMessage{ManagerId{1}, "no such thing"});
  const auto q = f.arrive(2);
  EXPECT_NE(f.sends[q].front(), where);
}

TEST(Health, AnEngineThatFailsFastIsShunnedAndTriedAgain) {
  Front f(make_settings());
  std::uint64_t id = 1;
  for (; id < 12; ++id) {
    const auto q = f.arrive(id);
    while (!f.finals[q]) f.end(q, f.sends[q].back() == "a" ? Outcome::error : Outcome::served);
  }
  int on_a = 0;
  for (; id < 20; ++id) {
    const auto q = f.arrive(id);
    on_a += f.sends[q].front() == "a";
    f.end(q, Outcome::served);
  }
  EXPECT_EQ(on_a, 0);
  f.pass(10s);
  for (; id < 40; ++id) {
    const auto q = f.arrive(id);
    on_a += f.sends[q].front() == "a";
    f.end(q, Outcome::served);
  }
  EXPECT_GT(on_a, 2);
}

TEST(Health, LostAnswersDoNotShunAServingEngine) {
  Front f(make_settings());
  for (std::uint64_t id = 1; id < 60; id += 2) {
    const auto lost = f.arrive(id), other = f.arrive(id + 1);
    f.pass(50ms);
    f.feed(AttemptProgress{lost, AttemptNumber{0}, {f.sends[lost].front()}, ProgressKind::progress, 0.5});
    f.end(other, Outcome::served);
    f.end(lost, Outcome::timed_out);
    if (!f.finals[lost] && f.tries(lost) > 1) f.end(lost, Outcome::served);
  }
  std::set<std::string> used;
  for (std::uint64_t id = 100; id < 102; ++id) used.insert(f.sends[f.arrive(id)].front());
  EXPECT_EQ(used.size(), 2u);
}

TEST(Health, WhenAllLookBadTheEvidenceIsDoubted) {
  Front f(make_settings());
  for (std::uint64_t id = 1; id < 20; ++id) {
    const auto q = f.arrive(id);
    while (!f.finals[q] && f.tries(q) > 0) {
      const auto before = f.tries(q);
      f.end(q, Outcome::unreachable, 1ms);
      if (f.tries(q) == before) break;
    }
  }
  EXPECT_EQ(f.tries(f.arrive(100)), 1u);  // still sent somewhere
}

TEST(Health, ASilentEnginesQueriesAreCalledBack) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  Front f(s);
  const auto p = f.arrive(1, 15s, 4s), q = f.arrive(2, 15s, 4s);
  for (int i = 0; i < 8; ++i) {
    f.pass(500ms);
    f.feed(
        AttemptProgress{q, AttemptNumber{0}, {f.sends[q].front()}, ProgressKind::progress, 0.12 * (i + 1)});
  }
  EXPECT_NE(std::find(f.cancels.begin(), f.cancels.end(), p), f.cancels.end());
  f.end(p, Outcome::cancelled);
  ASSERT_EQ(f.tries(p), 2u);
  EXPECT_EQ(f.sends[p].back(), f.sends[q].front());
}

TEST(Health, AnswersToEarlierSendsDoNotBringAShunnedEngineBack) {
  auto s = make_settings();
  s.kinds = {{64, 0}};
  Front f(s, {engine("a"), engine("b"), engine("c")});
  std::vector<QueryId> on_a;  // an engine that fails most, and answers one old query
  std::uint64_t id = 1;
  for (; on_a.size() < 6 && id < 60; ++id) {
    const auto q = f.arrive(id);
    if (f.tries(q) && f.sends[q].front() == "a") on_a.push_back(q);
  }
  ASSERT_EQ(on_a.size(), 6u);
  for (int i = 0; i < 5; ++i) f.end(on_a[i], Outcome::error, 5ms);
  f.end(on_a[5], Outcome::served, 50ms);
  int back = 0;
  for (const auto end = id + 10; id < end; ++id) {
    const auto q = f.arrive(id);
    ASSERT_EQ(f.tries(q), 1u);
    back += f.sends[q].front() == "a";
  }
  EXPECT_EQ(back, 0);
}

TEST(Health, AFullEngineDoesNotDrawTheQueries) {
  auto s = make_settings();
  s.max_attempts = 2;
  Front f(s);
  int full = 0;
  for (std::uint64_t id = 1; id <= 50; ++id) {  // "a" turns away at once and so looks idle
    const auto q = f.arrive(id);
    while (!f.finals[q]) {
      const bool on_a = f.sends[q].back() == "a";
      full += on_a;
      f.end(q, on_a ? Outcome::shed : Outcome::served, 1ms);
    }
    f.pass(10ms);
  }
  EXPECT_GE(full, 1);
  EXPECT_LE(full, 5);
}

TEST(Bound, CrowdingByOtherFrontsIsPressure) {
  auto s = make_settings();
  s.manager_count = 2;
  s.load_report_source = LoadReportSource::answers;
  s.load_report_fields = {LoadReportField::inflight};
  const auto sent_with = [&](double inflight) {
    Front f(s, {engine("a")});
    const auto q = f.arrive(1);
    AttemptEnded e{q, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {inflight}};
    f.feed(e);
    std::size_t sent = 0;
    for (std::uint64_t id = 2; id < 30; ++id) sent += f.tries(f.arrive(id));
    return sent;
  };
  EXPECT_LT(sent_with(20), sent_with(1));
}

TEST(Bound, TheShareGrowsWhenPeersLeaveTheEnginesIdle) {
  auto s = make_settings();
  s.manager_count = 4;
  Front f(s, {engine("a")});
  std::uint64_t id = 1;
  const auto running = [&] {
    for (int i = 0; i < 20; ++i) f.arrive(id++);
    std::vector<QueryId> out;
    for (const auto& [q, where] : f.sends) {
      if (!f.finals[q]) out.push_back(q);
    }
    return out;
  };
  const auto before = running();
  auto out = before;
  for (int round = 0; round < 60; ++round) {  // queries are held here, and what runs is as quick as ever
    for (const auto q : out) f.end(q, Outcome::served, 100ms);
    f.pass(100ms);
    out = running();
  }
  EXPECT_GT(out.size(), before.size() + 1);
}

TEST(Limit, ARepeatOfAClientIsMeasuredFromItsFirstTry) {
  auto s = make_settings({make_class(1s, 5s)});
  const auto refused_with = [&](Duration left) {
    Front f(s, {engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) f.arrive(id, 5s);  // full, and others wait: only the wanted time counts
    const auto q = f.arrive(id, left);
    return f.refused[q];
  };
  EXPECT_EQ(refused_with(5s), 0);
  EXPECT_EQ(refused_with(3s), 1);  // it first came 2 s ago, wanted within 1 s
}

TEST(Limit, OverATenantsShareIsRefusedUnderPressureOnly) {
  auto s = make_settings({make_class(4s, 5s)});
  s.tenants = {{0.5, 2}, {0.5, 1000}};
  s.over_quota_weight_ratio = 0.05;
  Front f(s, {engine("a")});
  std::uint64_t id = 1;
  const auto ask = [&](std::uint32_t tenant) {
    QueryArrived q;
    q.query = QueryId{id++};
    q.tenant = TenantId{tenant};
    q.work = 100ms;
    q.time_left = 5s;
    f.feed(q);
    return q.query;
  };
  std::vector<QueryId> small;
  for (int i = 0; i < 6; ++i) small.push_back(ask(0));  // over its share, but the engine has room
  for (const auto q : small) EXPECT_EQ(f.tries(q), 1u);
  for (int i = 0; i < 10; ++i) ask(1);
  const auto over = ask(0), within = ask(1);
  f.pass(40ms);
  EXPECT_EQ(f.refused[over], 1);
  EXPECT_EQ(f.refused[within], 0);
}

TEST(Limit, UnderPressureTheUsualErrorIsKeptFree) {
  Front f(make_settings({make_class(1s, 20s)}), {engine("a")});
  std::uint64_t id = 1;
  for (; id <= 20; ++id) f.arrive(id, 20s);
  const auto tight = f.arrive(id++, 20s, 900ms), small = f.arrive(id++, 20s, 50ms);
  f.pass(40ms);
  EXPECT_EQ(f.refused[tight], 1);  // fits the wanted time, but only just
  EXPECT_EQ(f.refused[small], 0);
}

TEST(BadPlan, AnAttemptFarOverItsEstimateIsCancelledAndTriedAgain) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  Front f(s);
  const auto q = f.arrive(1, 5s, 400ms);
  f.pass(500ms);
  f.feed(AttemptProgress{q, AttemptNumber{0}, {f.sends[q].front()}, ProgressKind::progress, 0.05});
  ASSERT_EQ(f.cancels.size(), 1u);
  f.end(q, Outcome::cancelled);
  EXPECT_EQ(f.tries(q), 2u);
}

TEST(BadPlan, AnAttemptOnItsWayIsLeftAlone) {
  auto s = make_settings();
  s.may_cancel = true;
  s.progress_interval = 500ms;
  Front f(s);
  const auto q = f.arrive(1, 5s, 1s);
  f.pass(500ms);
  f.feed(AttemptProgress{q, AttemptNumber{0}, {f.sends[q].front()}, ProgressKind::progress, 0.45});
  EXPECT_TRUE(f.cancels.empty());
}

TEST(Interface, InvalidSettingsNameTheField) {
  auto s = make_settings();
  s.classes[0].deadline = 0s;
  try {
    AdmissionController(s, 1, Time{});
    FAIL() << "accepted";
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("classes[0].deadline"), std::string::npos);
  }
  auto none = make_settings();
  none.classes.clear();
  EXPECT_THROW(AdmissionController(none, 1, Time{}), std::invalid_argument);
  auto bare = make_settings();
  bare.manager_count = 0;
  EXPECT_THROW(AdmissionController(bare, 1, Time{}), std::invalid_argument);
}

TEST(Interface, UnknownClassesThrowAndUnknownIdsAreIgnored) {
  Front f(make_settings());
  QueryArrived q;
  q.query_class = ClassId{9};
  EXPECT_THROW(f.feed(q), std::invalid_argument);
  f.feed(AttemptEnded{QueryId{5}, AttemptNumber{0}, {"x"}, Outcome::served, 1ms, true, {}});
  f.feed(AttemptProgress{QueryId{5}, AttemptNumber{3}, {"x"}, ProgressKind::spilling, 4});
  f.feed(ClientDisconnected{QueryId{5}});
  f.feed(ResponseStarted{QueryId{5}, AttemptNumber{0}, {"x"}});
  EXPECT_TRUE(f.finals.empty());
}

TEST(Interface, SameEventsGiveTheSameActions) {
  Front a(make_settings()), b(make_settings());
  for (std::uint64_t id = 1; id < 60; ++id) {
    const auto q = a.arrive(id);
    b.arrive(id);
    a.pass(30ms);
    b.pass(30ms);
    if (id % 3 && a.tries(q)) a.end(q, Outcome::served), b.end(q, Outcome::served);
  }
  EXPECT_EQ(a.sends, b.sends);
  EXPECT_EQ(a.finals, b.finals);
}

TEST(Choice, ManyFrontsDoNotAllChooseTheLargerKind) {
  auto s = make_settings();
  s.kinds = {{16, 0}, {12, 0}};
  s.manager_count = 200;
  auto small = engine("b");
  small.kind = KindId{1};
  int on_small = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Front f(s, {engine("a"), small}, seed);
    on_small += f.sends[f.arrive(1)].front() == "b";
  }
  EXPECT_GT(on_small, 55);  // 12 of 28 cores: 86 expected
  EXPECT_LT(on_small, 117);
}

// A front of many whose engines tell in each answer, or when `told` of them, how many queries they hold.
Settings seldom_met() {
  auto s = make_settings({make_class(2s, 8s)});
  s.manager_count = 100;
  s.kinds = {{8, 0}};
  s.load_report_source = LoadReportSource::answers;
  s.load_report_fields = {LoadReportField::inflight};
  return s;
}
void told(Front& f, const std::string& engine, double inflight) {
  f.feed(ProbeEnded{{engine}, Outcome::served, 1ms, {inflight}});
}

// Seen on the days at size: most answers came from the crowded engines, and the idle ones were held for as
// full.
TEST(Pool, AnEngineCountsOnceInTheMeanHoweverOftenItAnswers) {
  std::vector<EngineEntry> all;
  for (const char* name : {"a", "b", "c", "d", "e", "f", "g", "h"}) all.push_back(engine(name));
  Front f(seldom_met(), all);
  for (const char* name : {"c", "d", "e", "f", "g", "h"}) {
    told(f, name, 4);
    for (int i = 0; i < 20; ++i) told(f, i % 2 ? "a" : "b", 40), f.pass(10ms);
  }
  f.pass(5s);  // nothing is fresh any more
  const auto q = f.arrive(1, 8s);
  f.pass(1s);
  EXPECT_EQ(f.tries(q), 1u);
}

TEST(Pool, WhatWasSeenOfACrowdedOneIsForgottenAndDoesNotLockItOut) {
  Front f(seldom_met(), {engine("a"), engine("b")});
  for (int i = 0; i < 30; ++i) told(f, i % 2 ? "a" : "b", 40);
  const auto at_once = f.arrive(1, 8s);
  f.pass(1s);
  EXPECT_EQ(f.tries(at_once), 0u);  // full, as it was told
  f.pass(40s);
  const auto later = f.arrive(2, 8s);
  f.pass(1s);
  EXPECT_EQ(f.tries(later), 1u);
}

TEST(Pool, AColdEngineIsNotTakenForAsCrowdedAsTheOthers) {
  auto s = seldom_met();
  s.manager_count = 10;
  s.slow_start_window = 12s;
  s.slow_start_initial_ratio = 0.4;
  s.cold_overload_multiple = 2.5;
  s.cold_overload_window = 3s;
  Front f(s, {engine("a")});
  for (int i = 0; i < 30; ++i) told(f, "a", 40);
  auto cold = engine("b");
  cold.start_time = f.now;
  f.list({cold});
  f.pass(4s);
  told(f, "a", 40);
  const auto q = f.arrive(1, 8s);
  f.pass(1s);
  EXPECT_EQ(f.tries(q), 1u);
}

TEST(Peers, WhatIsToldOfIsCountedAndDamageIsIgnored) {
  auto s = make_settings({make_class(4s, 8s)});
  s.kinds = {{4, 1000}};
  s.manager_count = 2;
  s.may_message = true;
  Front peer(s), f(s);
  const auto arrive = [](Front& at, std::uint64_t id, double memory,
                         std::vector<std::string>* told = nullptr) {
    QueryArrived q;
    q.query = QueryId{id};
    q.work = 500ms;
    q.time_left = 8s;
    q.memory_mb = memory;
    for (const Action& a : at.feed(q)) {
      if (const auto* t = std::get_if<BroadcastToPeers>(&a); t && told) told->push_back(t->payload);
    }
    return q.query;
  };
  std::vector<std::string> told;
  const auto on_one = arrive(peer, 1, 500, &told);
  arrive(peer, 2, 500, &told);
  ASSERT_EQ(told.size(), 2u);
  for (const auto& t : told) {
    EXPECT_LE(t.size(), 7u);  // every byte is paid for by every receiver
    f.feed(PeerMessage{ManagerId{1}, t});
    for (std::size_t cut = 0; cut < t.size(); ++cut) f.feed(PeerMessage{ManagerId{1}, t.substr(0, cut)});
    f.feed(PeerMessage{ManagerId{1}, std::string(t.size(), '\xff')});
  }
  const auto big = arrive(f, 99, 600);  // fits beside neither of the peer's two
  EXPECT_EQ(f.tries(big), 0u);
  EXPECT_EQ(f.finals[big], 0);
  AttemptEnded end{on_one, AttemptNumber{0}, {peer.sends[on_one].front()}, Outcome::served, 100ms, true, {}};
  for (const Action& a : peer.feed(end)) {
    if (const auto* t = std::get_if<BroadcastToPeers>(&a)) f.feed(PeerMessage{ManagerId{1}, t->payload});
  }
  f.pass(200ms);
  ASSERT_EQ(f.tries(big), 1u);
  EXPECT_EQ(f.sends[big].front(), peer.sends[on_one].front());
}

// A front with one large engine, and queries of which each tenth is ten times as dear.
struct Priced {
  static Settings settings() {
    auto s = make_settings({make_class(20s, 40s)});
    s.kinds = {{64, 0}};
    return s;
  }
  // Returns how many were sent; each is served after `took`, or ten times that.
  int day(int n, Duration between, Duration took) {
    int sent = 0;
    for (int i = 0; i < n; ++i) {
      ++id;
      const auto q = f.arrive(id, 40s, id % 10 ? 100ms : 1s);
      f.pass(between);
      if (!f.tries(q)) continue;
      ++sent;
      f.end(q, Outcome::served, id % 10 ? took : 10 * took);
    }
    return sent;
  }
  Front f{settings(), {engine("a")}};
  std::uint64_t id = 1;
};

TEST(Price, LastingStrainRefusesTheDearestFirst) {
  Priced p;
  Front& f = p.f;
  p.day(60, 100ms, 100ms);
  EXPECT_EQ(f.refused[f.arrive(++p.id, 40s, 1s)], 0);
  p.day(80, 100ms, 500ms);  // five times slower, for eight seconds
  const auto dear = f.arrive(1000, 40s, 1s), cheap = f.arrive(1001, 40s, 20ms);
  EXPECT_EQ(f.refused[dear], 1);
  EXPECT_EQ(f.refused[cheap], 0);
}

TEST(Price, DoesNotGoOnFallingWhereNothingIsHeard) {
  Priced p;
  ASSERT_EQ(p.day(60, 10ms, 100ms), 60);
  ASSERT_EQ(p.day(8, 10ms, 500ms), 8);  // five times slower, and then nothing for a while
  p.f.pass(4s);
  EXPECT_EQ(p.f.refused[p.f.arrive(++p.id, 40s, 300ms)], 0);
}

TEST(Stall, AfterAGapNothingIsSentBeforeTheBacklogIsRead) {
  auto s = make_settings();
  s.progress_interval = 500ms;
  s.may_cancel = true;
  Front f(s);
  const auto p = f.arrive(1);
  f.pass(40ms);
  f.now += 2s;  // no turn, then all at once
  const auto q = f.arrive(2);
  EXPECT_EQ(f.tries(q), 0u);
  f.list({engine("a", EngineState::draining)});
  f.end(p, Outcome::served, 2s);
  f.pass(60ms);
  ASSERT_EQ(f.tries(q), 1u);
  EXPECT_EQ(f.sends[q].front(), "b");
  EXPECT_TRUE(f.cancels.empty());
}

TEST(Lost, AnAttemptWhoseNotesStopIsCalledBackWhileItsEngineServes) {
  auto s = make_settings({make_class(8s, 20s)});
  s.kinds = {{64, 0}};
  s.progress_interval = 500ms;
  s.may_cancel = true;
  Front f(s, {engine("a")});
  const auto lost = f.arrive(1, 20s, 2s), runs = f.arrive(2, 20s, 8s);
  for (int i = 0; i < 3; ++i) {
    f.pass(500ms);
    f.feed(AttemptProgress{runs, AttemptNumber{0}, {"a"}, ProgressKind::progress, 0.1 * (i + 1)});
  }
  ASSERT_EQ(f.cancels.size(), 1u);
  EXPECT_EQ(f.cancels.front(), lost);
  f.end(lost, Outcome::cancelled);
  f.pass(40ms);
  EXPECT_EQ(f.tries(lost), 2u);
}

TEST(Probes, AQueryLooksAroundAndAvoidsWhatOthersFill) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 10;
  s.kinds = {{8, 0}};
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  int on_full = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Front f(s, {engine("a"), engine("b")}, seed);
    QueryArrived q;
    q.query = QueryId{1};
    q.work = 1s;
    q.time_left = 8s;
    std::vector<std::string> probed;
    for (const Action& a : f.feed(q)) {
      if (const auto* p = std::get_if<Probe>(&a)) probed.push_back(p->engine.name);
    }
    ASSERT_EQ(probed.size(), 2u);
    EXPECT_EQ(f.tries(q.query), 0u);  // waits for the answers
    for (const auto& name : probed)
      f.feed(ProbeEnded{{name}, Outcome::served, 1ms, {name == "a" ? 30.0 : 1.0}});
    f.pass(1s);
    ASSERT_EQ(f.tries(q.query), 1u);
    on_full += f.sends[q.query].front() == "a";
  }
  EXPECT_EQ(on_full, 0);
}

TEST(Probes, LostProbesDelayAQueryByATickOnly) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::answers;
  s.load_report_fields = {LoadReportField::cpu};
  Front f(s);
  const auto q = f.arrive(1);
  EXPECT_EQ(f.tries(q), 0u);
  f.pass(40ms);
  EXPECT_EQ(f.tries(q), 1u);
}

TEST(Probes, NoneWhereReportsTellNothingOfWhatRuns) {
  auto s = make_settings();
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::queue, LoadReportField::latency_ms};
  Front f(s);
  EXPECT_EQ(f.tries(f.arrive(1)), 1u);
}

TEST(Bound, UnderPressureTheSumOverEnginesBindsWhereOneEnginesPartIsUnderAQuery) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 10;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 20; ++i) engines.push_back(engine("e" + std::to_string(i)));
  const auto sent_after = [&](Duration took) {
    Front f(s, engines);
    for (std::uint64_t id = 1; id <= 60; ++id) {
      const auto q = f.arrive(id, 8s);
      f.pass(20ms);
      if (f.tries(q)) f.end(q, Outcome::served, id <= 30 ? 100ms : took);
    }
    std::size_t sent = 0;
    for (std::uint64_t id = 100; id < 140; ++id) sent += f.tries(f.arrive(id, 8s));
    return sent;
  };
  EXPECT_GE(sent_after(100ms), 15u);  // 80 cores, a tenth of them: 8 threads, but nothing is pressed
  EXPECT_LE(sent_after(900ms), 10u);
}

TEST(Health, AnEngineGoneForLongIsForgotten) {
  const auto tries_after = [](Duration away) {
    Front f(make_settings(), {engine("a")});
    std::uint64_t id = 0;
    for (int i = 0; i < 6; ++i) {  // full each time: the wait for it grows
      const auto q = f.arrive(++id);
      f.end(q, Outcome::shed);
      f.feed(ClientDisconnected{q});
      f.pass(7s);
    }
    f.list({engine("a", EngineState::gone)});
    f.pass(away);
    f.list({engine("a")});
    const auto q = f.arrive(++id);
    f.end(q, Outcome::shed);
    f.pass(300ms);
    return f.tries(q);
  };
  EXPECT_EQ(tries_after(30s), 1u);
  EXPECT_EQ(tries_after(62s), 2u);
}

TEST(Bound, WhereAPartHoldsAQueryASlowPoolIsNotEmptied) {
  auto s = make_settings({make_class(20s, 40s)});
  s.manager_count = 2;
  std::vector<EngineEntry> engines;
  for (int i = 0; i < 8; ++i) engines.push_back(engine("e" + std::to_string(i)));
  Front f(s, engines);
  f.end(f.arrive(2000, 40s, 10s), Outcome::served, 10s);  // the dearest seen: no price refuses the rest
  for (std::uint64_t id = 1; id <= 300; ++id) {
    const auto q = f.arrive(id, 40s);
    f.pass(20ms);
    if (f.tries(q)) f.end(q, Outcome::served, id <= 30 ? 100ms : 500ms);  // slow, however little runs
  }
  std::size_t sent = 0;
  for (std::uint64_t id = 1000; id < 1040; ++id) sent += f.tries(f.arrive(id, 40s, 50ms));
  EXPECT_GE(sent, 8u);  // one an engine at least
}

TEST(Probes, AnEngineNearlyOutOfMemoryByItsReportGetsNone) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 100;
  s.kinds = {{8, 8000}};
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::cpu, LoadReportField::memory};
  const auto sent_with = [&](double memory) {
    Front f(s, {engine("a")});
    const auto q = f.arrive(1, 8s);
    f.feed(ProbeEnded{{"a"}, Outcome::served, 1ms, {0.1, memory}});
    f.pass(100ms);
    return f.tries(q);
  };
  EXPECT_EQ(sent_with(0.5), 1u);
  EXPECT_EQ(sent_with(0.97), 0u);  // granted memory can't pass all of it: who comes now runs short
}

TEST(Probes, AProbeBringsAShunnedEngineBack) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 2;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  Front f(s);
  std::uint64_t id = 1;
  const auto answer_probes = [&](const std::vector<Action>& actions, Outcome of_a) {
    for (const Action& a : actions) {
      if (const auto* p = std::get_if<Probe>(&a))
        f.feed(ProbeEnded{p->engine, p->engine.name == "a" ? of_a : Outcome::served, 1ms, {1.0}});
    }
  };
  const auto ask = [&](Outcome of_a) {
    QueryArrived q;
    q.query = QueryId{id++};
    q.work = 100ms;
    q.time_left = 8s;
    answer_probes(f.feed(q), of_a);
    f.pass(300ms);
    while (f.tries(q.query) && !f.finals[q.query])
      f.end(q.query, f.sends[q.query].back() == "a" ? Outcome::unreachable : Outcome::served, 5ms);
    return f.tries(q.query) && f.sends[q.query].front() == "a";
  };
  for (int i = 0; i < 8; ++i) ask(Outcome::unreachable);
  int on_a = 0;
  for (int i = 0; i < 6; ++i) on_a += ask(Outcome::unreachable);
  EXPECT_EQ(on_a, 0);  // refused probes keep it out, and no query is spent on it
  for (int i = 0; i < 30; ++i) on_a += ask(Outcome::served);
  EXPECT_GT(on_a, 0);
}

TEST(Overdue, WithoutNotesAnAttemptFarPastItsTimeIsCalledBackOnceAndThenLater) {
  auto s = make_settings({make_class(20s, 60s)});
  s.may_cancel = true;
  s.kinds = {{64, 0}};
  Front f(s, {engine("a")});
  std::uint64_t id = 10;
  const auto others_are_served = [&](int seconds) {
    for (int i = 0; i < seconds; ++i) {
      const auto other = f.arrive(id++, 60s);
      f.pass(1s);
      f.end(other, Outcome::served, 100ms);
    }
  };
  const auto q = f.arrive(1, 60s, 1s);
  others_are_served(9);
  EXPECT_TRUE(f.cancels.empty());
  others_are_served(4);
  ASSERT_EQ(f.cancels.size(), 1u);
  f.end(q, Outcome::cancelled);
  ASSERT_EQ(f.tries(q), 2u);
  others_are_served(14);
  EXPECT_EQ(f.cancels.size(), 1u);  // twice the patience
}

TEST(BadPlan, WhereNoWorkIsToldTheClassesOwnScatterIsNoBadPlan) {
  auto s = make_settings({make_class(1s, 20s)});
  s.may_cancel = true;
  s.progress_interval = 500ms;
  s.kinds = {{64, 0}};
  Front f(s);
  const auto ask = [&](std::uint64_t id) {
    QueryArrived q;
    q.query = QueryId{id};
    q.time_left = 20s;
    f.feed(q);
    return q.query;
  };
  for (std::uint64_t id = 1; id <= 60; ++id) {  // from 0.1 to 2.5 s
    const auto q = ask(id);
    f.pass(20ms);
    f.end(q, Outcome::served, id % 2 ? 100ms : 2500ms);
  }
  const auto wide = ask(100), bad = ask(101);
  f.pass(500ms);
  f.feed(AttemptProgress{wide, AttemptNumber{0}, {f.sends[wide].front()}, ProgressKind::progress, 0.2});
  EXPECT_TRUE(f.cancels.empty());  // 2.5 s in all, as many do
  f.feed(AttemptProgress{bad, AttemptNumber{0}, {f.sends[bad].front()}, ProgressKind::progress, 0.005});
  EXPECT_EQ(f.cancels.size(), 1u);
}

TEST(Limit, WhatIsOverItsQuotaTakesOnlyEnginesWithRoomToSpare) {
  auto s = make_settings({make_class(4s, 8s)});
  s.manager_count = 4;
  s.tenants = {{0.5, 2}, {0.5, 1000}};
  s.over_quota_weight_ratio = 0.05;
  s.may_probe = true;
  s.load_report_source = LoadReportSource::probes;
  s.load_report_fields = {LoadReportField::inflight};
  Front f(s, {engine("a")});
  const auto ask = [&](std::uint64_t id, std::uint32_t tenant, double inflight) {
    QueryArrived q;
    q.query = QueryId{id};
    q.tenant = TenantId{tenant};
    q.work = 100ms;
    q.time_left = 8s;
    f.feed(q);
    f.feed(ProbeEnded{{"a"}, Outcome::served, 1ms, {inflight}});
    f.pass(40ms);
    return q.query;
  };
  QueryId over{};
  for (std::uint64_t id = 1; id <= 4; ++id) f.end(over = ask(id, 0, 1), Outcome::served);
  f.pass(400ms);
  over = ask(10, 0, 6);  // six of at most seven or so
  EXPECT_EQ(f.refused[over], 1);
  EXPECT_EQ(f.refused[ask(11, 1, 6)], 0);
}

TEST(Estimate, WorkThatAnswersTellCorrectsTheWantedTime) {
  auto s = make_settings({make_class(2s, 20s)});
  s.classes[0].latency_objective_stretch = 2;
  s.reports_cost = true;
  const auto refused_after = [&](Duration needed) {
    Front f(s, {engine("a")});
    std::uint64_t id = 1;
    for (; id <= 120; ++id) {
      const auto q = f.arrive(id, 20s, 100ms);
      f.pass(100ms);
      f.feed(AttemptEnded{q, AttemptNumber{0}, {"a"}, Outcome::served, 100ms, true, {}, needed, 64});
    }
    QueryId held{};
    for (; id <= 160; ++id) held = f.arrive(id, 20s, 100ms);
    EXPECT_EQ(f.tries(held), 0u);
    f.pass(3s);
    return f.refused[held];
  };
  EXPECT_EQ(refused_after(100ms), 1);  // wanted within 2.2 s
  EXPECT_EQ(refused_after(1s), 0);     // within 4 s
}

TEST(Limit, AClientInAHurryIsNotTakenForARepeat) {
  auto s = make_settings({make_class(1s, 5s)});
  const auto refused_with = [&](Duration left, bool repeat) {
    Front f(s, {engine("a")});
    std::uint64_t id = 1;
    for (; id <= 20; ++id) f.arrive(id, 5s);  // full, and others wait: only the wanted time counts
    QueryArrived q;
    q.query = QueryId{id};
    q.work = 100ms;
    q.time_left = left;
    q.is_retry = repeat;
    f.feed(q);
    return f.refused[q.query];
  };
  EXPECT_EQ(refused_with(800ms, false), 0);  // in time whenever it is answered
  EXPECT_EQ(refused_with(800ms, true), 1);
  EXPECT_EQ(refused_with(3s, false), 1);  // it first came 2 s ago, wanted within 1 s
}

TEST(Health, AnEngineOfWhichLittleIsHeardIsProbedBeforeItCountsAsSilent) {
  auto s = make_settings({make_class(20s, 60s)});
  s.kinds = {{64, 0}};
  s.may_cancel = true;
  s.may_probe = true;
  const auto cancelled = [&](bool answers) {
    Front f(s, {engine("a")});
    f.arrive(1, 60s, 1s);
    for (int i = 0; i < 70; ++i) {  // past four estimates and the shortest silence
      f.pass(100ms);
      for (const auto& name : f.probes) {
        if (answers) f.feed(ProbeEnded{{name}, Outcome::served, 1ms, {}});
      }
      f.probes.clear();
    }
    return f.cancels.size();
  };
  EXPECT_EQ(cancelled(true), 0u);
  EXPECT_EQ(cancelled(false), 1u);
}

}  // namespace
}  // namespace yokestream::policy::testing
