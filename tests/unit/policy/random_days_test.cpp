// Seeded random days: engines crash, fall silent, drain, restart and come back, lists have gaps, outcomes are
// lost until the deadline. A checker that knows nothing of the module judges every action by the rules.
#include <random>
#include <set>

#include "rule_judge.h"

namespace yokestream::policy::testing {
namespace {

Settings random_settings(std::mt19937& random) {
  std::vector<ClassSettings> classes(1 + random() % 4);
  for (auto& c : classes) {
    c = make_class(std::chrono::milliseconds(200 + random() % 1500),
                   std::chrono::milliseconds(2000 + random() % 5000));
    c.idempotency = static_cast<Idempotency>(random() % 3);
    c.deduplication_scope = static_cast<DeduplicationScope>(random() % 3);
    c.deduplication_window = std::chrono::milliseconds(300 + random() % 3000);
    c.ordered = random() % 3 == 0;
    c.threads = 1 + random() % 3;
    c.locks_table_group = random() % 4 == 0;
    c.waits_for_table_group = random() % 3 == 0;
    if (random() % 4 == 0) c.allowed_zones = {ZoneId{static_cast<std::uint32_t>(random() % 2)}};
    if (random() % 4 == 0) c.allowed_kinds = {KindId{static_cast<std::uint32_t>(random() % 2)}};
  }
  Settings s = make_settings(classes);
  s.kinds = {{4, 4000}, {8, 0}};
  s.zones = 2;
  s.manager_count = 1 + random() % 4;
  s.max_attempts = 1 + random() % 4;
  s.may_cancel = random() % 2;
  s.memory_grants = random() % 2;
  s.query_priorities = random() % 2;
  s.may_message = random() % 2;
  s.progress_interval = random() % 2 ? 500ms : 0ms;
  s.order_pause = std::chrono::milliseconds(random() % 600);
  s.retry_budget_enabled = random() % 2;
  s.retry_budget_min_retries = random() % 4;
  s.retry_budget_ratio = 0.1;
  s.retry_budget_window = 2s;
  s.slow_start_initial_ratio = 0.3;
  s.slow_start_window = 5s;
  s.cold_overload_multiple = 2;
  s.cold_overload_window = 1s;
  return s;
}

struct Totals {
  std::size_t sends = 0, again = 0, queries = 0;
};

// One random day of 12 s; returns what broke. `blind` hides drains from the module, to show that the judge
// sees them.
std::vector<std::string> play(unsigned seed, Totals& totals, bool blind = false) {
  std::mt19937 random(seed);
  const Settings s = random_settings(random);
  RuleJudge judge(s);
  ManagerHarness front(s, {});
  std::set<std::string> down, silent;
  struct Pending {
    QueryId query;
    AttemptNumber attempt;
    std::string engine;
    Time sent;
  };
  std::multimap<Time, Pending> pending;
  const auto list = [&](const std::vector<EngineEntry>& entries, EngineListKind kind) {
    for (const auto& e : entries) {
      judge.listed[e.engine.name] = e;
      if (e.state == EngineState::up)
        judge.removed_at.erase(e.engine.name);
      else
        judge.removed_at.emplace(e.engine.name, front.now);
    }
    return EngineList{kind, entries};
  };
  const auto take = [&](const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      judge.act(front.now, a);
      if (const auto* send = std::get_if<Send>(&a)) {
        const auto& q = judge.seen.at(send->query);
        const Time deadline = q.came + q.request.time_left;
        Duration took = std::chrono::milliseconds(5 + random() % 900);
        if (silent.count(send->engine.name) || random() % 20 == 0)
          took = deadline - front.now;  // the answer is lost
        if (down.count(send->engine.name)) took = 5ms;
        pending.emplace(std::min(front.now + took, deadline),
                        Pending{send->query, AttemptNumber{static_cast<std::uint32_t>(q.tries.size() - 1)},
                                send->engine.name, front.now});
        ++totals.sends;
        totals.again += q.tries.size() > 1;
      }
      if (const auto* c = std::get_if<Cancel>(&a)) {
        for (auto it = pending.begin(); it != pending.end(); ++it) {
          if (it->second.query != c->query || it->second.attempt != c->attempt) continue;
          Pending p = it->second;
          pending.erase(it);
          pending.emplace(front.now, p);
          break;
        }
      }
    }
  };
  std::vector<EngineEntry> all;
  for (int i = 0; i < 5; ++i) {
    auto e = make_engine("e" + std::to_string(i));
    e.zone = ZoneId{static_cast<std::uint32_t>(i % 2)};
    e.kind = KindId{static_cast<std::uint32_t>(i / 2 % 2)};
    e.cell = CellId{static_cast<std::uint64_t>(i % 3)};
    all.push_back(e);
  }
  take(front.feed(list(all, EngineListKind::cached)));
  std::uint64_t next = 1;
  const Time end = front.now + 20s;
  while (front.now < end) {
    front.now += 5ms;
    while (!front.timers.empty() && front.timers.begin()->first <= front.now) {
      const auto token = front.timers.begin()->second;
      front.timers.erase(front.timers.begin());
      take(front.feed(TimerFired{token}));
    }
    const bool quiet = front.now > end - 8s;  // all must be answered by the end
    if (!quiet && random() % 3 == 0) {
      QueryArrived q;
      q.query = QueryId{next++};
      q.query_class = ClassId{static_cast<std::uint32_t>(random() % s.classes.size())};
      q.table_group = TableGroupId{random() % 3};
      if (random() % 2) q.order_key = OrderKey{random() % 3};
      if (random() % 2) q.work = std::chrono::milliseconds(1 + random() % 800);
      q.memory_mb = static_cast<double>(random() % 500);
      q.time_left = std::chrono::milliseconds(300 + random() % 5000);
      judge.seen[q.query].request = q;
      judge.seen[q.query].came = front.now;
      judge.taken.push_back(front.now);
      if (s.classes[static_cast<std::size_t>(q.query_class)].ordered && q.order_key)
        judge.lines[*q.order_key].push_back(q.query);
      ++totals.queries;
      take(front.feed(q));
    }
    if (random() % 150 == 0) {  // trouble
      auto& e = all[random() % all.size()];
      const auto& name = e.engine.name;
      switch (random() % 5) {
        case 0:
          down.count(name) ? (void)down.erase(name) : (void)down.insert(name);
          break;
        case 1:
          silent.count(name) ? (void)silent.erase(name) : (void)silent.insert(name);
          break;
        case 2:
          e.start_time = front.now;
          break;
        default:
          e.state = static_cast<EngineState>(random() % 3);
      }
      auto news = list({e}, EngineListKind::delta);
      if (blind) news.entries[0].state = EngineState::up;
      take(front.feed(news));
      if (random() % 8 == 0) {  // a gap, then the whole list
        std::vector<EngineEntry> some;
        for (const auto& x : all) {
          if (x.state != EngineState::removed || blind) some.push_back(x);
        }
        auto full = list(some, EngineListKind::full);
        if (blind)
          for (auto& x : full.entries) x.state = EngineState::up;
        take(front.feed(full));
      }
    }
    if (random() % 60 == 0 && !pending.empty()) {
      const auto& p = pending.begin()->second;
      take(front.feed(AttemptProgress{p.query,
                                      p.attempt,
                                      {p.engine},
                                      static_cast<ProgressKind>(random() % 4),
                                      static_cast<double>(random() % 100) / 100}));
    }
    if (random() % 200 == 0 && next > 1) {
      const QueryId id{1 + random() % (next - 1)};
      auto& q = judge.seen.at(id);
      if (q.finals == 0 && !q.left) q.left = true, take(front.feed(ClientDisconnected{id}));
    }
    while (!pending.empty() && pending.begin()->first <= front.now) {
      const Pending p = pending.begin()->second;
      pending.erase(pending.begin());
      auto& q = judge.seen.at(p.query);
      Outcome o = random() % 5 ? Outcome::served : static_cast<Outcome>(random() % 7);
      if (down.count(p.engine)) o = random() % 2 ? Outcome::unreachable : Outcome::reset;
      if (front.now >= q.came + q.request.time_left) o = Outcome::timed_out;
      judge.ended(front.now, p.query, o);
      const bool over = q.finals > 0 || q.left;
      if (o == Outcome::served && !over) ++q.finals;
      take(front.feed(AttemptEnded{
          p.query, p.attempt, {p.engine}, o, front.now - p.sent, over || o == Outcome::served, {}}));
    }
    for (const auto& [id, q] : judge.seen) {
      if (front.now > q.came + q.request.time_left + 20ms)
        judge.need(q.finals == 1 || q.left, "not answered in time");
    }
  }
  return judge.broken;
}

TEST(RandomDays, KeepTheRules) {
  Totals totals;
  for (unsigned seed = 1; seed <= 40; ++seed) {
    const auto broken = play(seed, totals);
    ASSERT_TRUE(broken.empty()) << "seed " << seed << ": " << broken.front();
  }
  EXPECT_GT(totals.sends, 5000u);
  EXPECT_GT(totals.again, 500u);
}

TEST(RandomDays, TheJudgeFindsAControllerThatIsNotNotifiedOfDrains) {
  Totals totals;
  std::set<std::string> kinds;
  for (unsigned seed = 1; seed <= 10; ++seed) {
    for (const auto& b : play(seed, totals, true)) kinds.insert(b);
  }
  EXPECT_TRUE(kinds.count("drain"));
}

}  // namespace
}  // namespace yokestream::policy::testing
