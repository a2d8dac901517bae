// Tests of the scheduler and its parts against reference models, with fixed seeds and a simulated clock.
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
  t.name = name, t.share = share, t.level_by_class = std::move(level);
  return t;
}
// The team `rest`, and one team with one tenant for each share.
Settings settings(const std::vector<double>& shares) {
  Settings out;
  out.enabled = true;
  out.teams.push_back(team("rest", 0));
  for (std::size_t i = 0; i < shares.size(); ++i) {
    out.team_of.push_back(i + 1);
    out.teams.push_back(team(("t" + std::to_string(i)).c_str(), shares[i]));
  }
  return out;
}

// A scheduler and engines whose `cores` are shared equally by the admitted requests, one core each at most.
struct Simulation {
  Simulation(const Settings& s, double cores_) : cores(cores_), scheduler(kStart, s, 2) {
    scheduler.set_cores(now, cores_);
  }
  double cores, longest_wait_s = 0;
  Scheduler scheduler;
  Time now = kStart;
  std::uint64_t last = 0;
  std::map<QueryId, double> running, costs;  // remaining and total work
  std::set<QueryId> queued;
  std::map<QueryId, Time> arrived_at;
  std::map<std::size_t, double> dispatched_work;  // work by team
  std::map<QueryId, std::size_t> team_of;
  std::uint64_t rejected = 0;

  QueryId offer(std::size_t tenant, double cost, std::size_t cls = 0, Duration time_left = 30s) {
    Arrival a;
    a.query = QueryId{++last};
    a.tenant = tenant, a.cls = cls, a.estimated_work_s = cost;
    a.deadline = now + time_left, a.soft_deadline = now + time_left / 2;
    const Verdict v = scheduler.offer(now, a);
    arrived_at[a.query] = now, team_of[a.query] = scheduler.team_of(tenant), costs[a.query] = cost;
    if (v.decision == Decision::admit) start(a.query);
    if (v.decision == Decision::queue) queued.insert(a.query);
    if (v.decision == Decision::reject) ++rejected;
    REQUIRE((v.decision != Decision::reject || v.retry_after >= 50ms));
    handle_verdicts();
    return a.query;
  }
  void start(QueryId q) { running[q] = costs[q], dispatched_work[team_of[q]] += costs[q]; }
  void handle_verdicts() {
    while (const auto next = scheduler.next(now)) {
      REQUIRE(queued.erase(next->query) == 1);
      longest_wait_s = std::max(longest_wait_s, seconds(now - arrived_at[next->query]));
      if (next->verdict.decision == Decision::admit) {
        start(next->query);
      } else {
        ++rejected;
        scheduler.on_request_finished(now, next->query, {});
      }
    }
  }
  void run_for(Duration duration, Duration step = 10ms) {
    const Time until = now + duration;
    while (now < until) {
      now += step;
      const double each = std::min(1.0, cores / std::max<double>(1, static_cast<double>(running.size())));
      std::vector<QueryId> finished;
      for (auto& [q, left] : running) {
        if ((left -= each * seconds(step)) <= 0) finished.push_back(q);
      }
      for (const QueryId q : finished) {
        running.erase(q);
        throttle::Outcome outcome;
        outcome.executed = true, outcome.latency = now - arrived_at[q], outcome.measured_work_s = costs[q];
        scheduler.on_request_finished(now, q, outcome);
      }
      handle_verdicts();
    }
  }
};

TEST_CASE("priority rises with waiting and a nearer soft deadline; two requests keep their order") {
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int i = 0; i < 2000; ++i) {
    const Duration step = from_seconds(0.1 + 3 * draw(random));
    const Time arrived = kStart + from_seconds(5 * draw(random)),
               deadline = arrived + from_seconds(8 * draw(random));
    const Duration service = from_seconds(2 * draw(random));
    const auto level = static_cast<unsigned>(random() % kServiceLevels);
    const Time due = due_time(arrived, level, step, deadline, service),
               later = arrived + from_seconds(9 * draw(random));
    CHECK(due >= arrived);
    CHECK((due <= arrived + 3 * step));
    CHECK(aged_priority(later + 1s, due, step) > aged_priority(later, due, step));
    CHECK(due_time(arrived, level, step, deadline - 500ms, service) <= due);  // nearer deadline: no later
    if (level < 3)
      CHECK(due_time(arrived, level + 1, step, deadline, service) <= due);  // higher level: no later
    const Time other = due_time(arrived + 300ms, level, step, deadline + 1s, service);
    CHECK((aged_priority(later, due, step) < aged_priority(later, other, step)) ==
          (aged_priority(later + 7s, due, step) < aged_priority(later + 7s, other, step)));
  }
}

TEST_CASE("WorkByDueTime agrees with a plain sum to within one slot") {
  std::mt19937_64 random(8);
  WorkByDueTime sums(30s);
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
    double sure = 0, most = 0;  // bounds: without and with the slot of `asked`
    for (const auto& [due, work] : plain) {
      sure += due < asked - sums.slot_width() ? work : 0;
      most += due < asked + sums.slot_width() ? work : 0;
    }
    CHECK(sums.before(asked) >= sure - 1e-6);
    CHECK(sums.before(asked) <= most + 1e-6);
  }
}

TEST_CASE("a team without budget borrows, excess budgets are scaled, debt is repaid in one period") {
  Settings s = settings({0.5, 0.8});
  s.teams[1].budget_s = 0;
  BudgetAccounts accounts;
  accounts.configure(kStart, s);
  accounts.set_throughput(kStart, 10);
  CHECK(accounts.status(kStart, 1) == BudgetStatus::borrowing);
  CHECK(accounts.budget_rate(1) == 0);
  CHECK(accounts.budget_rate(2) == doctest::Approx(8));
  CHECK(accounts.guaranteed_rate(1) == doctest::Approx(0.1 * 10 / 3));
  s.teams[1].budget_s = 60 * 10 * 3.0;  // three times the throughput
  accounts.configure(kStart, s);
  accounts.set_throughput(kStart, 10);
  CHECK(accounts.budget_rate(1) + accounts.budget_rate(2) == doctest::Approx(10));
  accounts.charge(kStart, 2, 1e9);
  CHECK(accounts.status(kStart, 2) == BudgetStatus::borrowing);
  CHECK(accounts.budget_balance(kStart, 2) == doctest::Approx(-60 * accounts.budget_rate(2)));
  CHECK(accounts.status(kStart + 59s, 2) == BudgetStatus::borrowing);
  CHECK(accounts.status(kStart + 61s, 2) == BudgetStatus::within_budget);
  CHECK(accounts.budget_balance(kStart + 1000s, 2) ==
        doctest::Approx(60 * accounts.budget_rate(2)));  // burst
}

TEST_CASE("a floor holds in debt, a ceiling stops a team, a group is charged for its teams") {
  Settings s = settings({0.5, 0.5});
  s.teams[1].floor = 0.2, s.teams[2].ceiling = 0.3;
  BudgetAccounts accounts;
  accounts.configure(kStart, s);
  accounts.set_throughput(kStart, 10);
  accounts.charge(kStart, 1, 1e6);
  CHECK(accounts.status(kStart, 1) == BudgetStatus::borrowing);
  CHECK(accounts.status(kStart + 2s, 1) == BudgetStatus::below_floor);
  accounts.charge(kStart + 2s, 2, 3.5);
  CHECK(accounts.status(kStart + 2s, 2) == BudgetStatus::at_ceiling);
  CHECK(accounts.status(kStart + 3s, 2) == BudgetStatus::within_budget);
  s.teams[1].group = s.teams[2].group = "rest", s.teams[0].share = 1;
  BudgetAccounts grouped;
  grouped.configure(kStart, s);
  grouped.set_throughput(kStart, 10);
  grouped.charge(kStart, 1, 1e6);
  CHECK(grouped.status(kStart, 0) == BudgetStatus::borrowing);
  CHECK_FALSE(grouped.is_leaf(0));
}

// Reference model of drain_time(), in steps of 1 ms.
double reference_drain_time(std::vector<FluidQueue> queues, std::size_t team, double work_ahead,
                            double throughput, double max_time) {
  queues[team].work = std::max(queues[team].work, work_ahead);
  const double step = 0.001;
  for (double elapsed = 0; elapsed < max_time; elapsed += step) {
    std::vector<double> limit, served(queues.size(), 0);
    for (auto& q : queues)
      q.work += q.arrival_rate * step, limit.push_back(std::min(q.work, q.ceiling_rate * step));
    double capacity = throughput * step;
    for (std::size_t i = 0; i < queues.size(); ++i) {
      served[i] = std::min({limit[i], queues[i].floor_rate * step, capacity});
      capacity -= served[i];
    }
    for (const bool within : {true, false}) {
      for (int round = 0; round < 20; ++round) {
        double weights = 0, used = 0;
        for (std::size_t i = 0; i < queues.size(); ++i)
          weights +=
              (queues[i].budget_balance > 0) == within && served[i] < limit[i] - 1e-12 ? queues[i].weight : 0;
        for (std::size_t i = 0; weights > 0 && i < queues.size(); ++i) {
          if ((queues[i].budget_balance > 0) != within || served[i] >= limit[i] - 1e-12) continue;
          const double more = std::min(limit[i] - served[i], capacity * queues[i].weight / weights);
          served[i] += more, used += more;
        }
        capacity -= used;
      }
    }
    for (std::size_t i = 0; i < queues.size(); ++i) {
      queues[i].work -= served[i];
      queues[i].budget_balance += queues[i].budget_rate * step - served[i];
    }
    work_ahead -= served[team];
    if (work_ahead <= 0) return elapsed + step;
  }
  return max_time;
}

TEST_CASE("drain_time agrees with a simulation in small steps") {
  std::mt19937_64 random(9);
  std::uniform_real_distribution<double> draw(0, 1);
  double errors = 0;
  for (int i = 0; i < 60; ++i) {
    std::vector<FluidQueue> queues(2 + random() % 4);
    for (FluidQueue& t : queues) {
      t.work = random() % 3 ? 20 * draw(random) : 0;
      t.arrival_rate = 4 * draw(random);
      t.weight = 0.2 + draw(random);
      t.budget_balance = 30 * draw(random) - 10;
      t.budget_rate = 2 * draw(random);
      t.floor_rate = random() % 4 ? 0 : draw(random);
      t.ceiling_rate = random() % 4 ? 1e9 : 1 + 3 * draw(random);
    }
    const double ahead = 0.5 + 10 * draw(random);
    const double reference = reference_drain_time(queues, 0, ahead, 10, 30);
    std::vector<FluidQueue> scratch = queues;
    const double wait = drain_time(scratch, 0, ahead, 10, 30);
    CAPTURE(i);
    CHECK(wait == doctest::Approx(reference).epsilon(0.25));  // balances near zero
    errors += std::abs(wait - reference) / reference / 60;
  }
  CHECK(errors < 0.02);
}

TEST_CASE("a team that offers eight times its budget does not slow down a team within its budget") {
  Simulation sim(settings({0.5, 0.5}), 8);
  std::mt19937_64 random(3);
  for (int i = 0; i < 6000; ++i) {  // 60 s; 0.1 engine-seconds per request
    for (int k = 0; k < 3; ++k) sim.offer(0, 0.1);
    if (i % 3 == 0) sim.offer(1, 0.1);  // 3.3 engine-seconds per second of its 4
    sim.run_for(10ms);
  }
  CHECK(sim.dispatched_work[2] > 0.97 * 2000 * 0.1);
  CHECK(sim.dispatched_work[1] > 0.4 * 8 * 60);
  CHECK(sim.rejected > 5000);
}

TEST_CASE("two teams borrow from an idle one; once it is busy it has its budget, and they repay") {
  Simulation sim(settings({0.3, 0.3, 0.4}), 10);
  const auto ask = [&](bool third) {
    for (int k = 0; k < 2; ++k) sim.offer(0, 0.1), sim.offer(1, 0.1);
    if (third) sim.offer(2, 0.1);
    sim.run_for(25ms);
  };
  for (int i = 0; i < 3200; ++i) ask(false);  // load 16 of 10 for 80 s, longer than saved budgets last
  CHECK(sim.dispatched_work[1] + sim.dispatched_work[2] > 0.85 * 10 * 80);
  CHECK(sim.scheduler.budget_balance(sim.now, 1) < 0);
  const double before = sim.dispatched_work[3];
  for (int i = 0; i < 400; ++i) ask(true);  // 4 engine-seconds per second
  CHECK(sim.dispatched_work[3] - before > 0.95 * 4 * 10);
  sim.run_for(300s, 1s);
  CHECK(sim.scheduler.budget_status(sim.now, 1) == BudgetStatus::within_budget);
}

TEST_CASE("level 0 without budget is served during an hour of overload, and no wait exceeds max_wait") {
  Settings s = settings({1.0, 0});
  s.teams[2].budget_s = 0, s.teams[2].level_by_class = {0, 0};
  s.max_wait = 20s, s.slack_factor = 1;
  Simulation sim(s, 4);
  std::set<QueryId> low;
  for (int i = 0; i < 36'000; ++i) {
    sim.offer(0, 0.5), sim.offer(0, 0.3);  // twice the capacity
    if (i % 100 == 0) low.insert(sim.offer(1, 0.5, 0, 60s));
    sim.run_for(100ms, 20ms);
  }
  sim.run_for(60s, 100ms);
  CHECK(sim.dispatched_work[2] >= 0.97 * 360 * 0.5);
  CHECK(sim.scheduler.metrics().dispatched_overdue > 100);
  CHECK(sim.longest_wait_s <= 20.2);
}

TEST_CASE("random events: one verdict per request, max_wait holds, counts agree as teams change") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    Settings s = settings({0.5, 0.3, 0.2});
    s.max_wait = 3s, s.slack_factor = 1, s.max_queued = 200;
    Simulation sim(s, 4);
    for (int i = 0; i < 1500; ++i) {
      for (std::uint64_t k = random() % 4; k > 0; --k)
        sim.offer(random() % 3, 0.02 + 0.001 * static_cast<double>(random() % 200), random() % 2,
                  std::chrono::milliseconds(50 + random() % 8000));
      if (random() % 5 == 0 && !sim.queued.empty()) {  // abandoned while queued
        const QueryId q =
            *std::next(sim.queued.begin(), static_cast<std::ptrdiff_t>(random() % sim.queued.size()));
        sim.queued.erase(q);
        sim.scheduler.on_request_finished(sim.now, q, {});
      }
      if (random() % 200 == 0) {
        Settings changed = settings({0.2 + 0.1 * static_cast<double>(random() % 5), 0.3, 0.2});
        changed.max_wait = 3s, changed.slack_factor = 1, changed.max_queued = 200;
        if (random() % 2) changed.teams.pop_back(), changed.team_of[2] = 1;  // its queued requests move to t0
        sim.scheduler.configure(sim.now, changed);
        for (auto& [q, t] : sim.team_of) t = std::min(t, changed.teams.size() - 1);
      }
      sim.run_for(std::chrono::milliseconds(10 + 10 * (random() % 3)));
      const Metrics f = sim.scheduler.metrics();
      REQUIRE(f.waiting == sim.queued.size());
      REQUIRE(f.admitted == sim.running.size());
      REQUIRE(f.threads_in_use == doctest::Approx(static_cast<double>(sim.running.size())));
    }
    CHECK(sim.longest_wait_s <= 3.05);
    sim.run_for(60s, 50ms);
    CHECK(sim.queued.empty());
    CHECK(sim.scheduler.metrics().threads_in_use == 0);
  }
}

TEST_CASE("a restored snapshot equals the original, and requests that do not fit are returned") {
  Simulation sim(settings({0.5, 0.5}), 2);
  for (int i = 0; i < 200; ++i) sim.offer(static_cast<std::size_t>(i) % 2, 0.1), sim.run_for(10ms);
  const Snapshot kept = sim.scheduler.snapshot(sim.now);
  REQUIRE(kept.queued.size() > 10);
  Scheduler other(kStart + 500s, settings({0.5, 0.5}), 2);
  other.set_cores(kStart + 500s, 2);
  CHECK(other.restore(kStart + 500s, kept).empty());
  const Snapshot again = other.snapshot(kStart + 500s);
  REQUIRE(again.queued.size() == kept.queued.size());
  std::map<QueryId, Snapshot::Request> by_query;
  for (const auto& w : kept.queued) by_query[w.query] = w;
  for (const auto& w : again.queued) {
    const auto& was = by_query.at(w.query);
    CHECK(w.team == was.team);
    CHECK(w.cost == was.cost);
    CHECK((w.due_in == was.due_in));
    CHECK((w.waited == was.waited));
  }
  for (std::size_t i = 0; i < kept.balances.size(); ++i)
    CHECK(again.balances[i].budget == doctest::Approx(kept.balances[i].budget));
  Settings small = settings({0.5, 0.5});
  small.max_queued = 5;
  Scheduler full(kStart, small, 2);
  CHECK(full.restore(kStart, kept).size() == kept.queued.size() - 5);
}

TEST_CASE("requests of unknown classes and tenants and without estimates are admitted and estimated") {
  Simulation sim(settings({0.5, 0.5}), 2);
  const QueryId q = sim.offer(0, 0, 1);
  CHECK(sim.running.count(q) == 1);
  Arrival a;
  a.query = QueryId{77}, a.tenant = 99, a.cls = 1;
  a.deadline = sim.now + 5s, a.soft_deadline = sim.now + 2s;
  const WaitEstimate estimate = sim.scheduler.estimate_wait(sim.now, a);
  CHECK((estimate.wait >= Duration{}));
  CHECK((estimate.response_p90 >= estimate.response));
}

EnginePriorities::Attempt attempt_of(const char* engine, unsigned requested) {
  EnginePriorities::Attempt attempt;
  attempt.engine = engine, attempt.requested = requested;
  attempt.expected_time = 1s, attempt.expected_time_p90 = 2s, attempt.soft_deadline = kStart + 1000s;
  return attempt;
}

TEST_CASE("a query far over its expected time stays demoted, a load is not, and requested priorities apply") {
  EnginePriorities priorities;
  priorities.configure(4, 100);
  auto load = attempt_of("e", 1);
  load.is_load = true;
  CHECK(priorities.on_attempt_started(kStart, QueryId{1}, attempt_of("e", 2)) == 2);
  CHECK(priorities.on_attempt_started(kStart, QueryId{2}, load) == 1);
  CHECK_FALSE(priorities.next_change(kStart + 3900ms));
  const auto change = priorities.next_change(kStart + 4200ms);
  REQUIRE(change);
  CHECK(change->query == QueryId{1});
  CHECK(change->priority == 0);
  CHECK_FALSE(priorities.next_change(kStart + 4300ms));
  CHECK_FALSE(priorities.on_priority_requested(kStart + 9s, QueryId{1}, 3));  // stays demoted
  CHECK(priorities.on_priority_requested(kStart + 9s, QueryId{2}, 3) == 3u);
  CHECK(priorities.demoted() == 1);
  priorities.on_attempt_ended(QueryId{1});
  CHECK_FALSE(priorities.on_priority_requested(kStart + 10s, QueryId{1}, 2));
}

TEST_CASE("a query on borrowed budget has a lower priority only while requests wait, without flapping") {
  EnginePriorities priorities;
  priorities.configure(100, 100);
  auto start = attempt_of("e", 2);
  start.borrowed = true;
  CHECK(priorities.on_attempt_started(kStart, QueryId{1}, start) == 2);
  std::vector<std::pair<double, unsigned>> sent;
  for (int ms = 0; ms < 20'000; ms += 10) {
    const Time now = kStart + std::chrono::milliseconds(ms);
    // Requests wait until 4 s, then during the first half of each 400 ms, and from 10 s on not at all.
    priorities.update_contention(now, ms < 10'000 && (ms < 4'000 || ms % 400 < 200));
    while (const auto change = priorities.next_change(now)) sent.emplace_back(ms / 1000.0, change->priority);
  }
  REQUIRE(sent.size() == 2);
  CHECK(sent[0].second == 1);
  CHECK(sent[1].second == 2);
  CHECK(sent[1].first > 11.5);
}

TEST_CASE("priority changes keep the message limit per engine, and all are sent in the end") {
  EnginePriorities priorities;
  priorities.configure(1.5, 10);
  for (std::uint64_t i = 1; i <= 200; ++i)
    priorities.on_attempt_started(kStart, QueryId{i}, attempt_of(i % 2 ? "e" : "f", 2));
  std::map<int, int> by_second;
  std::size_t all = 0;
  for (int ms = 0; ms < 60'000; ms += 10) {
    while (const auto change = priorities.next_change(kStart + std::chrono::milliseconds(ms))) {
      ++by_second[ms / 1000], ++all;
      CHECK(change->priority == 0);
    }
  }
  for (const auto& [second, count] : by_second)
    CHECK(count <= 2 * 2 * 10);  // a full bucket and its refill of 1 s, for two engines
  CHECK(all == 200);
  CHECK(priorities.changes_sent() == 200);
}

}  // namespace
}  // namespace yokestream::test
