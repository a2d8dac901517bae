// The queues' parts against plain references: random steps from fixed seeds, a clock of our own.
#include "scheduler/scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

namespace yokestream::test {
namespace {

using namespace std::chrono_literals;
using namespace scheduler;

constexpr Time kStart{Duration(1000s)};
double seconds(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_seconds(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }

scheduler::Team team(const char* name, double share, std::vector<unsigned> level = {1, 1}) {
  scheduler::Team t;
  t.name = name, t.share = share, t.level = std::move(level);
  return t;
}
// `rest` and one team a share, a member each.
Settings settings(const std::vector<double>& shares) {
  Settings out;
  out.on = true;
  out.teams.push_back(team("rest", 0));
  for (std::size_t i = 0; i < shares.size(); ++i) {
    out.team_of.push_back(i + 1);
    out.teams.push_back(team(("t" + std::to_string(i)).c_str(), shares[i]));
  }
  return out;
}

// Engines as a fluid beside the queues: what has passed is worked off at `cores`, each on one thread.
struct Rig {
  Rig(const Settings& s, double cores_) : cores(cores_), queues(kStart, s, 2) { queues.cores(now, cores_); }
  double cores;
  Scheduler queues;
  Time now = kStart;
  std::uint64_t last = 0;
  std::map<QueryId, double> runs;  // work left
  std::set<QueryId> waits;
  std::map<QueryId, Time> came;
  std::map<std::size_t, double> gone;  // work by team
  std::map<QueryId, std::size_t> team_of;
  std::map<QueryId, double> costs;
  double longest = 0;
  std::uint64_t refused = 0, expired_early = 0;

  QueryId arrive(std::size_t member, double cost, std::size_t cls = 0, Duration left = 30s) {
    Arrival a;
    a.query = QueryId{++last};
    a.member = member, a.cls = cls, a.estimated_work_s = cost;
    a.deadline = now + left, a.wanted = now + left / 2;
    const Verdict v = queues.arrive(now, a);
    came[a.query] = now, team_of[a.query] = queues.team_of(member), costs[a.query] = cost;
    if (v.ruling == Ruling::pass) run(a.query);
    if (v.ruling == Ruling::wait) waits.insert(a.query);
    if (v.ruling == Ruling::turn_away) ++refused;
    REQUIRE((v.ruling != Ruling::turn_away || v.hint >= 50ms));
    move();
    return a.query;
  }
  void run(QueryId q) { runs[q] = costs[q], gone[team_of[q]] += costs[q]; }
  void move() {
    while (const auto moved = queues.next(now)) {
      REQUIRE(waits.erase(moved->query) == 1);
      longest = std::max(longest, seconds(now - came[moved->query]));
      if (moved->verdict.ruling == Ruling::pass) {
        run(moved->query);
      } else {
        ++refused;
        queues.over(now, moved->query, {});
      }
    }
  }
  void pass(Duration time, Duration step = 10ms) {
    const Time until = now + time;
    while (now < until) {
      now += step;
      const double each = std::min(1.0, cores / std::max<double>(1, static_cast<double>(runs.size())));
      std::vector<QueryId> done;
      for (auto& [q, left] : runs) {
        if ((left -= each * seconds(step)) <= 0) done.push_back(q);
      }
      for (const QueryId q : done) {
        runs.erase(q);
        throttle::Outcome o;
        o.executed = true, o.latency = now - came[q], o.measured_work_s = costs[q];
        queues.over(now, q, o);
      }
      move();
    }
  }
};

TEST_CASE("ageing: priority rises with waiting and with nearness, and the order of two never changes") {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int i = 0; i < 2000; ++i) {
    const Duration age = from_seconds(0.1 + 3 * draw(random));
    const Time a = kStart + from_seconds(5 * draw(random)), w = a + from_seconds(8 * draw(random));
    const Duration needs = from_seconds(2 * draw(random));
    const auto level = static_cast<unsigned>(random() % kLevels);
    const Time due = due_time(a, level, age, w, needs), later = a + from_seconds(9 * draw(random));
    CHECK(due >= a);
    CHECK((due <= a + 3 * age));
    CHECK(priority(later + 1s, due, age) > priority(later, due, age));
    CHECK(due_time(a, level, age, w - 500ms, needs) <= due);             // nearer: no lower
    if (level < 3) CHECK(due_time(a, level + 1, age, w, needs) <= due);  // higher level: no lower
    const Time other = due_time(a + 300ms, level, age, w + 1s, needs);
    CHECK((priority(later, due, age) < priority(later, other, age)) ==
          (priority(later + 7s, due, age) < priority(later + 7s, other, age)));
  }
}

TEST_CASE("the work ahead by due time is that of a plain sum") {
  std::mt19937_64 random(8);
  WorkByDue sums(30s);
  std::vector<std::pair<Time, double>> plain;
  Time now = kStart;
  for (int i = 0; i < 4000; ++i) {
    now += std::chrono::milliseconds(random() % 30);
    if (plain.empty() || random() % 3) {
      plain.emplace_back(now + std::chrono::milliseconds(random() % 8000),
                         1.0 + static_cast<double>(random() % 9));
      sums.add(plain.back().first, plain.back().second);
    } else {
      const auto at = plain.begin() + static_cast<std::ptrdiff_t>(random() % plain.size());
      sums.add(at->first, -at->second);
      plain.erase(at);
    }
    while (!plain.empty() && plain.front().first < now - 8s) {
      sums.add(plain.front().first, -plain.front().second);
      plain.erase(plain.begin());
    }
    const Time asked = now + std::chrono::milliseconds(random() % 9000);
    double sure = 0, most = 0;  // but for the slot that it falls into
    for (const auto& [due, work] : plain) {
      sure += due < asked - sums.width() ? work : 0;
      most += due < asked + sums.width() ? work : 0;
    }
    CHECK(sums.before(asked) >= sure - 1e-6);
    CHECK(sums.before(asked) <= most + 1e-6);
  }
}

TEST_CASE("accounts: a budget of zero borrows, budgets over the whole are cut, debt is paid back in a span") {
  Settings s = settings({0.5, 0.8});
  s.teams[1].budget = 0;
  Accounts accounts;
  accounts.configure(kStart, s);
  accounts.capacity(kStart, 10);
  CHECK(accounts.standing(kStart, 1) == Standing::borrowing);
  CHECK(accounts.rate(1) == 0);
  CHECK(accounts.rate(2) == doctest::Approx(8));
  CHECK(accounts.certain(1) == doctest::Approx(0.1 * 10 / 3));
  s.teams[1].budget = 60 * 10 * 3.0;  // three times the whole
  accounts.configure(kStart, s);
  accounts.capacity(kStart, 10);
  CHECK(accounts.rate(1) + accounts.rate(2) == doctest::Approx(10));
  accounts.charge(kStart, 2, 1e9);
  CHECK(accounts.standing(kStart, 2) == Standing::borrowing);
  CHECK(accounts.budget(kStart, 2) == doctest::Approx(-60 * accounts.rate(2)));
  CHECK(accounts.standing(kStart + 59s, 2) == Standing::borrowing);
  CHECK(accounts.standing(kStart + 61s, 2) == Standing::within);
  CHECK(accounts.budget(kStart + 1000s, 2) == doctest::Approx(60 * accounts.rate(2)));  // a span's burst
}

TEST_CASE(
    "accounts: a floor is owed whatever was used, a ceiling bars, a group's account holds for its teams") {
  Settings s = settings({0.5, 0.5});
  s.teams[1].floor = 0.2, s.teams[2].ceiling = 0.3;
  Accounts accounts;
  accounts.configure(kStart, s);
  accounts.capacity(kStart, 10);
  accounts.charge(kStart, 1, 1e6);
  CHECK(accounts.standing(kStart, 1) == Standing::borrowing);
  CHECK(accounts.standing(kStart + 2s, 1) == Standing::owed);
  accounts.charge(kStart + 2s, 2, 3.5);
  CHECK(accounts.standing(kStart + 2s, 2) == Standing::barred);
  CHECK(accounts.standing(kStart + 3s, 2) == Standing::within);
  s.teams[1].group = s.teams[2].group = "rest";
  s.teams[0].share = 1;
  Accounts grouped;
  grouped.configure(kStart, s);
  grouped.capacity(kStart, 10);
  grouped.charge(kStart, 1, 1e6);
  CHECK(grouped.standing(kStart, 0) == Standing::borrowing);
  CHECK_FALSE(grouped.leaf(0));
}

// The same fluid in steps of a millisecond.
double plain_drain(std::vector<Tank> tanks, std::size_t asked, double ahead, double per_s, double most) {
  tanks[asked].work = std::max(tanks[asked].work, ahead);
  const double step = 0.001;
  for (double at = 0; at < most; at += step) {
    std::vector<double> left, got(tanks.size(), 0);
    for (auto& t : tanks) t.work += t.inflow * step, left.push_back(std::min(t.work, t.ceiling * step));
    double room = per_s * step;
    for (std::size_t i = 0; i < tanks.size(); ++i) {
      got[i] = std::min({left[i], tanks[i].floor * step, room});
      room -= got[i];
    }
    for (const bool within : {true, false}) {
      for (int round = 0; round < 20; ++round) {
        double weights = 0, used = 0;
        for (std::size_t i = 0; i < tanks.size(); ++i)
          weights += (tanks[i].budget > 0) == within && got[i] < left[i] - 1e-12 ? tanks[i].weight : 0;
        for (std::size_t i = 0; weights > 0 && i < tanks.size(); ++i) {
          if ((tanks[i].budget > 0) != within || got[i] >= left[i] - 1e-12) continue;
          const double more = std::min(left[i] - got[i], room * tanks[i].weight / weights);
          got[i] += more, used += more;
        }
        room -= used;
      }
    }
    for (std::size_t i = 0; i < tanks.size(); ++i) {
      tanks[i].work -= got[i];
      tanks[i].budget += tanks[i].fills * step - got[i];
    }
    ahead -= got[asked];
    if (ahead <= 0) return at + step;
  }
  return most;
}

TEST_CASE("the forecast is that of the same fluid in small steps") {
  std::mt19937_64 random(9);
  std::uniform_real_distribution<double> draw(0, 1);
  double errors = 0;
  for (int i = 0; i < 60; ++i) {
    std::vector<Tank> tanks(2 + random() % 4);
    for (Tank& t : tanks) {
      t.work = random() % 3 ? 20 * draw(random) : 0;
      t.inflow = 4 * draw(random);
      t.weight = 0.2 + draw(random);
      t.budget = 30 * draw(random) - 10;
      t.fills = 2 * draw(random);
      t.floor = random() % 4 ? 0 : draw(random);
      t.ceiling = random() % 4 ? 1e9 : 1 + 3 * draw(random);
    }
    const double ahead = 0.5 + 10 * draw(random);
    const double plain = plain_drain(tanks, 0, ahead, 10, 30);
    std::vector<Tank> walked = tanks;
    const double wait = drained_after(walked, 0, ahead, 10, 30);
    CAPTURE(i);
    CHECK(wait == doctest::Approx(plain).epsilon(0.25));  // budgets that hover round nothing
    errors += std::abs(wait - plain) / plain / 60;
  }
  CHECK(errors < 0.02);
}

TEST_CASE("a team that asks for eight times its budget takes nothing from one within its own") {
  Rig rig(settings({0.5, 0.5}), 8);
  std::mt19937_64 random(3);
  for (int i = 0; i < 6000; ++i) {  // a minute; 0.1 a request
    for (int k = 0; k < 3; ++k) rig.arrive(0, 0.1);
    if (i % 3 == 0) rig.arrive(1, 0.1);  // 3.3 a second of its 4
    rig.pass(10ms);
  }
  CHECK(rig.gone[2] > 0.97 * 2000 * 0.1);
  CHECK(rig.gone[1] > 0.4 * 8 * 60);
  CHECK(rig.refused > 5000);
}

TEST_CASE("two teams borrow from a third; when it wakes up it has its budget at once, and they pay back") {
  Rig rig(settings({0.3, 0.3, 0.4}), 10);
  const auto ask = [&](bool third) {
    for (int k = 0; k < 2; ++k) rig.arrive(0, 0.1), rig.arrive(1, 0.1);
    if (third) rig.arrive(2, 0.1);
    rig.pass(25ms);
  };
  for (int i = 0; i < 3200; ++i) ask(false);  // 16 a second of 10, for longer than what was saved up lasts
  CHECK(rig.gone[1] + rig.gone[2] > 0.85 * 10 * 80);
  CHECK(rig.queues.budget(rig.now, 1) < 0);
  const double before = rig.gone[3];
  for (int i = 0; i < 400; ++i) ask(true);  // 4 a second
  CHECK(rig.gone[3] - before > 0.95 * 4 * 10);
  rig.pass(300s, 1s);
  CHECK(rig.queues.standing(rig.now, 1) == Standing::within);
}

TEST_CASE(
    "what can wait finishes beside a flood for an hour, whatever its budget; no wait passes its bound") {
  Settings s = settings({1.0, 0});
  s.teams[2].budget = 0;
  s.teams[2].level = {0, 0};
  s.most_wait = 20s, s.patience = 1;
  Rig rig(s, 4);
  std::set<QueryId> low;
  for (int i = 0; i < 36'000; ++i) {
    rig.arrive(0, 0.5), rig.arrive(0, 0.3);  // twice what fits
    if (i % 100 == 0) low.insert(rig.arrive(1, 0.5, 0, 60s));
    rig.pass(100ms, 20ms);
  }
  rig.pass(60s, 100ms);
  CHECK(rig.gone[2] >= 0.97 * 360 * 0.5);
  CHECK(rig.queues.figures().rescued > 100);
  CHECK(rig.longest <= 20.2);
}

TEST_CASE(
    "random steps: each is answered once, nobody waits past the bound, counts agree, teams come and go") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    Settings s = settings({0.5, 0.3, 0.2});
    s.most_wait = 3s, s.patience = 1;
    s.waiting = 200;
    Rig rig(s, 4);
    for (int i = 0; i < 1500; ++i) {
      for (std::uint64_t k = random() % 4; k > 0; --k)
        rig.arrive(random() % 3, 0.02 + 0.001 * static_cast<double>(random() % 200), random() % 2,
                   std::chrono::milliseconds(50 + random() % 8000));
      if (random() % 5 == 0 && !rig.waits.empty()) {  // given up while it waited
        const QueryId q =
            *std::next(rig.waits.begin(), static_cast<std::ptrdiff_t>(random() % rig.waits.size()));
        rig.waits.erase(q);
        rig.queues.over(rig.now, q, {});
      }
      if (random() % 200 == 0) {
        Settings changed = settings({0.2 + 0.1 * static_cast<double>(random() % 5), 0.3, 0.2});
        changed.most_wait = 3s, changed.patience = 1, changed.waiting = 200;
        if (random() % 2) changed.teams.pop_back(), changed.team_of[2] = 1;  // what waits there goes to t0
        rig.queues.configure(rig.now, changed);
        for (auto& [q, t] : rig.team_of) t = std::min(t, changed.teams.size() - 1);
      }
      rig.pass(std::chrono::milliseconds(10 + 10 * (random() % 3)));
      const Figures f = rig.queues.figures();
      REQUIRE(f.waiting == rig.waits.size());
      REQUIRE(f.in == rig.runs.size());
      REQUIRE(f.threads_in == doctest::Approx(static_cast<double>(rig.runs.size())));
    }
    CHECK(rig.longest <= 3.05);
    rig.pass(60s, 50ms);
    CHECK(rig.waits.empty());
    CHECK(rig.queues.figures().threads_in == 0);
  }
}

TEST_CASE("a snapshot restored elsewhere holds the same; what finds no room there is told") {
  Rig rig(settings({0.5, 0.5}), 2);
  for (int i = 0; i < 200; ++i) rig.arrive(static_cast<std::size_t>(i) % 2, 0.1), rig.pass(10ms);
  const Snapshot kept = rig.queues.snapshot(rig.now);
  REQUIRE(kept.waiting.size() > 10);
  Scheduler other(kStart + 500s, settings({0.5, 0.5}), 2);
  other.cores(kStart + 500s, 2);
  CHECK(other.restore(kStart + 500s, kept).empty());
  const Snapshot again = other.snapshot(kStart + 500s);
  REQUIRE(again.waiting.size() == kept.waiting.size());
  std::map<QueryId, Snapshot::Waits> by_query;
  for (const auto& w : kept.waiting) by_query[w.query] = w;
  for (const auto& w : again.waiting) {
    const auto& was = by_query.at(w.query);
    CHECK(w.team == was.team);
    CHECK(w.cost == was.cost);
    CHECK((w.due_in == was.due_in));
    CHECK((w.waited == was.waited));
  }
  for (std::size_t i = 0; i < kept.balances.size(); ++i)
    CHECK(again.balances[i].budget == doctest::Approx(kept.balances[i].budget));
  Settings small = settings({0.5, 0.5});
  small.waiting = 5;
  Scheduler full(kStart, small, 2);
  CHECK(full.restore(kStart, kept).size() == kept.waiting.size() - 5);
}

TEST_CASE("a class that was never seen and estimates that are not told are taken on") {
  Rig rig(settings({0.5, 0.5}), 2);
  const QueryId q = rig.arrive(0, 0, 1);
  CHECK(rig.runs.count(q) == 1);
  Arrival a;
  a.query = QueryId{77}, a.member = 99, a.cls = 1;
  a.deadline = rig.now + 5s, a.wanted = rig.now + 2s;
  const Quote quote = rig.queues.quote(rig.now, a);
  CHECK((quote.wait >= Duration{}));
  CHECK((quote.answer_most >= quote.answer));
}

// ---- bands

Bands::Start start_of(const char* engine, unsigned wish) {
  Bands::Start s;
  s.engine = engine, s.wish = wish, s.usual = 1s, s.usual_most = 2s;
  s.wanted = kStart + 1000s;
  return s;
}

TEST_CASE("bands: one far past its usual time sinks for good, a load never, and the module's wish counts") {
  Bands bands;
  bands.configure(4, 100);
  auto load = start_of("e", 1);
  load.load = true;
  CHECK(bands.start(kStart, QueryId{1}, start_of("e", 2)) == 2);
  CHECK(bands.start(kStart, QueryId{2}, load) == 1);
  CHECK_FALSE(bands.next(kStart + 3900ms));
  const auto change = bands.next(kStart + 4200ms);
  REQUIRE(change);
  CHECK(change->query == QueryId{1});
  CHECK(change->band == 0);
  CHECK_FALSE(bands.next(kStart + 4300ms));
  CHECK_FALSE(bands.wish(kStart + 9s, QueryId{1}, 3));  // it stays down
  CHECK(bands.wish(kStart + 9s, QueryId{2}, 3) == 3u);
  CHECK(bands.sunk() == 1);
  bands.end(QueryId{1});
  CHECK_FALSE(bands.wish(kStart + 10s, QueryId{1}, 2));
}

TEST_CASE("bands: borrowed work gives way while others wait, and not before; no flapping") {
  Bands bands;
  bands.configure(100, 100);
  auto start = start_of("e", 2);
  start.borrowed = true;
  CHECK(bands.start(kStart, QueryId{1}, start) == 2);
  std::vector<std::pair<double, unsigned>> told;
  for (int ms = 0; ms < 20'000; ms += 10) {
    const Time now = kStart + std::chrono::milliseconds(ms);
    // Others wait for the first half of each 400 ms, then from 10 s on nobody.
    bands.waiting(now, ms < 10'000 && (ms < 4'000 || ms % 400 < 200));
    while (const auto change = bands.next(now)) told.emplace_back(ms / 1000.0, change->band);
  }
  REQUIRE(told.size() == 2);
  CHECK(told[0].second == 1);
  CHECK(told[1].second == 2);
  CHECK(told[1].first > 11.5);
}

TEST_CASE("bands: messages to an engine keep their bound, and all is told in the end") {
  Bands bands;
  bands.configure(1.5, 10);
  for (std::uint64_t i = 1; i <= 200; ++i) bands.start(kStart, QueryId{i}, start_of(i % 2 ? "e" : "f", 2));
  std::map<int, int> by_second;
  std::size_t all = 0;
  for (int ms = 0; ms < 60'000; ms += 10) {
    while (const auto change = bands.next(kStart + std::chrono::milliseconds(ms))) {
      ++by_second[ms / 1000], ++all;
      CHECK(change->band == 0);
    }
  }
  for (const auto& [second, count] : by_second)
    CHECK(count <= 2 * 2 * 10);  // a bucket and a second's fill, two engines
  CHECK(all == 200);
  CHECK(bands.told() == 200);
}

}  // namespace
}  // namespace yokestream::test
