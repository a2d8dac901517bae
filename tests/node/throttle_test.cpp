// The door's deciders, each against a plain reference or its stated bounds. Pure: no clock but the test's.
#include "throttle/throttle.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "helper.h"

namespace yokestream::test {
namespace {

using throttle::Arrival;
using throttle::FairQueue;
using throttle::QueryId;
using throttle::Ruling;
using throttle::Throttle;

constexpr Time kStart{Duration(1000s)};

TEST_CASE(
    "fair queueing: random steps against a plain reference, tags never further apart than one request") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SeededRandom steps(seed);
    const std::size_t members = 2 + steps.below(4), entries = 64;
    FairQueue queue(members, entries);
    std::vector<double> weights;
    for (std::size_t m = 0; m < members; ++m) {
      weights.push_back(1.0 + static_cast<double>(steps.below(9)));
      queue.weight(m, weights.back());
    }
    // The reference: what waits, in order of arrival, by member and queue, and the work that has gone.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<std::pair<QueryId, FairQueue::Ref>>> waits;
    std::size_t count = 0;
    std::uint64_t last = 0;
    for (int i = 0; i < 3000; ++i) {
      const auto kind = steps.below(10);
      if (kind < 5 && !queue.full()) {
        FairQueue::Entry e;
        e.query = QueryId{++last};
        e.member = static_cast<std::uint32_t>(steps.below(members));
        e.queue = static_cast<std::uint32_t>(steps.below(4));
        e.cost = 1.0 + static_cast<double>(steps.below(8));
        e.until = kStart + Duration(static_cast<Duration::rep>(steps.below(1000)));
        const bool first = steps.below(8) == 0;
        auto& line = waits[{e.member, e.queue}];
        const auto ref = queue.push(e, first);
        first ? line.emplace_front(e.query, ref) : line.emplace_back(e.query, ref);
        ++count;
      } else if (kind == 5 && count > 0) {  // one leaves
        auto it = waits.begin();
        std::advance(it, static_cast<long>(steps.below(waits.size())));
        if (it->second.empty()) continue;
        const auto at = steps.below(it->second.size());
        CHECK(queue.remove(it->second[at].second).query == it->second[at].first);
        it->second.erase(it->second.begin() + static_cast<long>(at));
        --count;
      } else if (kind > 5) {
        const std::size_t barred = steps.below(members + 1);
        const auto gone = queue.pop([&](std::size_t m, double) { return m != barred; });
        bool any = false;
        for (const auto& [key, line] : waits) any = any || (!line.empty() && key.first != barred);
        REQUIRE(gone.has_value() == any);
        if (!gone) continue;
        auto& line = waits[{gone->member, gone->queue}];
        REQUIRE_FALSE(line.empty());
        CHECK(line.front().first == gone->query);  // in turn within a queue
        line.pop_front();
        --count;
      }
      CHECK(queue.size() == count);
      Time earliest = Time::max();
      for (const auto& [key, line] : waits) {
        for (const auto& [query, ref] : line) earliest = std::min(earliest, queue.at(ref).until);
      }
      if (count > 0) CHECK((queue.at(queue.earliest()).until == earliest));
    }
  }
}

TEST_CASE(
    "fair queueing: members who always ask get work by weight, with a bounded lag, whatever their costs") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SeededRandom steps(seed);
    FairQueue queue(3, 256);
    const double weights[] = {52, 35, 13}, most_cost = 8;
    double gone[3] = {};
    for (std::size_t m = 0; m < 3; ++m) queue.weight(m, weights[m]);
    std::uint64_t last = 0;
    for (int i = 0; i < 2000; ++i) {
      for (std::uint32_t m = 0; m < 3; ++m) {
        while (queue.count(m) < 4)
          queue.push({QueryId{++last}, m, 0, 1.0 + static_cast<double>(steps.below(8)), 1, kStart});
      }
      const auto e = queue.pop([](std::size_t, double) { return true; });
      gone[e->member] += e->cost;
      for (int a = 0; a < 3; ++a) {
        for (int b = 0; b < 3; ++b)
          CHECK(gone[a] / weights[a] - gone[b] / weights[b] <=
                most_cost / weights[a] + most_cost / weights[b] + 1e-9);
      }
    }
  }
}

TEST_CASE("a member that was idle is next, and has saved up nothing") {
  FairQueue queue(2, 64);
  std::uint64_t last = 0;
  const auto push = [&](std::uint32_t m) { queue.push({QueryId{++last}, m, 0, 1, 1, kStart}); };
  const auto pop = [&] { return queue.pop([](std::size_t, double) { return true; })->member; };
  for (int i = 0; i < 20; ++i) push(0);
  for (int i = 0; i < 10; ++i) CHECK(pop() == 0);
  for (int i = 0; i < 8; ++i) push(1);
  int of_second = 0;
  CHECK(pop() <= 1);
  for (int i = 0; i < 8; ++i) of_second += pop() == 1;
  CHECK(of_second >= 4);
  CHECK(of_second <= 5);  // not all eight for the time it was away
}

TEST_CASE("a kind that lies is charged the truth, by member") {
  throttle::Cost cost(2, 1);
  for (int i = 0; i < 60; ++i) {
    cost.learn(0, 0, 0.1, 0.1);
    cost.learn(1, 0, 0.01, 0.1);
  }
  CHECK(cost.charge(1, 0, 0.01) == doctest::Approx(0.1).epsilon(0.15));
  CHECK(cost.charge(0, 0, 0.1) == doctest::Approx(0.1).epsilon(0.5));
  CHECK(cost.charge(0, 0, 0) == doctest::Approx(0.1).epsilon(0.2));  // nothing told: the mean
}

TEST_CASE("greedy clients get queues of their own; a hundred thousand others cost no memory") {
  const std::size_t members = 3;
  throttle::Clients clients(members, 7);
  SeededRandom steps(3);
  Time now = kStart;
  std::size_t apart = 0, seen = 0;
  for (int i = 0; i < 200'000; ++i) {
    now += 100us;
    clients.queue(now, 1, 1000 + steps.below(100'000), 1);
    if (i % 2) continue;
    const auto queue = clients.queue(now, 1, 5, 1);  // a third of all
    ++seen, apart += queue >= throttle::Clients::kHashed;
  }
  CHECK(static_cast<double>(apart) > 0.99 * static_cast<double>(seen));
  // The bound, as the operators' page states it.
  CHECK(Throttle::bytes(throttle::Settings{}, members) < 1'500'000);
}

TEST_CASE("who shares a queue with another changes with the seed") {
  throttle::Clients clients(1, 9);
  std::set<std::size_t> queues;
  for (int i = 0; i < 40; ++i) queues.insert(clients.queue(kStart + i * 6s, 0, 77, 1e-9));
  CHECK(queues.size() > 5);
}

TEST_CASE("places are kept until they expire, and a full table keeps no more") {
  throttle::Places places(16, 100ms);
  CHECK(places.keep(kStart, 1, {kStart + 1s, 1}));
  CHECK(places.find(kStart, 1).has_value());
  CHECK_FALSE(places.find(kStart, 2).has_value());
  CHECK(places.take(kStart + 1s, 1).has_value());
  CHECK_FALSE(places.take(kStart + 1s, 1).has_value());
  for (std::uint64_t k = 10; k < 26; ++k) CHECK(places.keep(kStart, k, {kStart + 1s, 1}));
  CHECK_FALSE(places.keep(kStart, 99, {kStart + 1s, 1}));
  CHECK(places.keep(kStart + 2s, 99, {kStart + 3s, 1}));  // the others have expired
  CHECK_FALSE(places.find(kStart + 2s, 10).has_value());
}

TEST_CASE("capacity: half the engines gone or all slow shows in the bound within 3 s, and it recovers") {
  for (const double times : {2.0, 2.5}) {
    throttle::Capacity capacity(1, 2);
    capacity.cores(16);
    Time now = kStart;
    const auto run = [&](Duration length, double slow) {
      const Time until = now + length;
      while (now < until) {
        now += 20ms;
        // Closed loop: time taken grows with what is in, as the bound lets it in.
        const double stretch = slow * std::max(1.0, capacity.bound() / 24);
        capacity.finished(now, 0, stretch, 0.3 / slow, true);
      }
    };
    run(5s, 1);
    const double before = capacity.bound();
    CHECK(before > 16);
    run(3s, times * 1.6);
    CHECK(capacity.bound() < 0.75 * before);
    CHECK(capacity.bound() >= 16);  // never under a thread a core: a slowdown from outside must not starve
    run(5s, 1);
    CHECK(capacity.bound() > 0.9 * before);
  }
}

// A door before engines that finish `rate` requests of 0.1 s a second when enough is in.
struct Site {
  explicit Site(throttle::Settings s = {}) : door((s.on = true, s), 3, 2) { door.cores(4); }
  Throttle door;
  Time now = kStart;
  std::uint64_t last = 0;
  std::deque<QueryId> in;
  std::map<std::uint64_t, Duration> turned;  // hints
  std::size_t passed = 0;

  Ruling arrive(std::size_t member, std::uint64_t client, Duration left = 4s) {
    Arrival a;
    a.query = QueryId{++last};
    a.member = member, a.client = client, a.estimated_work_s = 0.1, a.deadline = now + left;
    const auto verdict = door.arrive(now, a);
    if (verdict.ruling == Ruling::pass) in.push_back(a.query), ++passed;
    if (verdict.ruling == Ruling::turn_away) turned[last] = verdict.hint;
    move();
    return verdict.ruling;
  }
  void move() {
    while (const auto moved = door.next(now)) {
      if (moved->verdict.ruling == Ruling::pass)
        in.push_back(moved->query), ++passed;
      else
        turned[static_cast<std::uint64_t>(moved->query)] = moved->verdict.hint;
    }
  }
  void finish(std::size_t n = 1) {
    for (; n > 0 && !in.empty(); --n) {
      door.over(now, in.front(), {true, 100ms, 0.1});
      in.pop_front();
    }
    move();
  }
  void fill() {  // until the flooding member is turned away
    while (arrive(2, 1000 + last) != Ruling::turn_away) continue;
  }
};

TEST_CASE("lightly loaded the door lets everybody pass at once") {
  Site site;
  for (int i = 0; i < 500; ++i) {
    CHECK(site.arrive(static_cast<std::size_t>(i % 3), 1) == Ruling::pass);
    site.now += 30ms;
    site.finish();
  }
  CHECK(site.turned.empty());
}

TEST_CASE("in a flood a member within its share passes at once or goes before what waits of the flood") {
  Site site;
  site.fill();
  CHECK(site.door.figures().waiting > 0);
  const auto ruling = site.arrive(0, 9);
  CHECK(ruling != Ruling::turn_away);
  if (ruling == Ruling::wait) {
    const auto before = site.passed;
    site.finish();
    CHECK(site.passed > before);
    CHECK(site.in.back() == QueryId{site.last});
  }
}

TEST_CASE("hints are spread, who comes early hears the same time again, who comes then finds his place") {
  Site site;
  site.fill();
  std::vector<std::pair<Time, std::uint64_t>> told;
  for (std::uint64_t client = 1; client <= 20; ++client) {
    while (site.arrive(2, client) != Ruling::turn_away) continue;  // until it asked for more than its part
    told.emplace_back(site.now + site.turned[site.last], client);
    const auto early = site.door.figures().early;
    CHECK(site.arrive(2, client) == Ruling::turn_away);  // at once: no better, and known for what it is
    CHECK((site.now + site.turned[site.last] == told.back().first));
    CHECK(site.door.figures().early == early + 1);
  }
  std::sort(told.begin(), told.end());
  for (std::size_t i = 5; i < told.size(); ++i)  // in the door's view 40 a second are served
    CHECK((told[i].first - told[i - 5].first > 5ms));
  std::size_t let_in = 0;
  for (const auto& [due, client] : told) {
    while (site.now < due) {
      site.now += 5ms;
      if (site.now.time_since_epoch().count() % 25'000'000 == 0) site.finish();  // 4 cores: 40 a second
      site.arrive(2, 1000 + site.last);                                          // the flood goes on
    }
    let_in += site.arrive(2, client) != Ruling::turn_away;
  }
  CHECK(let_in >= 18);
}

TEST_CASE("a full door puts out the newest of who has most waiting, not who comes") {
  throttle::Settings settings;
  settings.waiting = 8;
  settings.most_wait = 60s;
  Site site(settings);
  while (site.door.figures().waiting < 8) site.arrive(2, 1000 + site.last, 100s);
  const auto before = site.turned.size();
  CHECK(site.arrive(2, 7, 100s) == Ruling::turn_away);  // the fattest itself
  while (site.arrive(0, 1000 + site.last, 100s) == Ruling::pass) continue;
  CHECK(site.turned.size() == before + 2);
  CHECK(site.door.figures().waiting == 8);
}

TEST_CASE("who waits is turned away when the rest of its time no longer suffices, and not later") {
  Site site;
  while (site.arrive(2, 1000 + site.last, 500ms) != Ruling::wait) continue;
  const auto waiting = site.last;
  for (int i = 0; i < 10 && !site.turned.count(waiting); ++i) {
    site.now = site.door.next_due(site.now);
    site.move();
  }
  REQUIRE(site.turned.count(waiting));
  CHECK((site.now < kStart + 500ms));
}

TEST_CASE("one that leaves while it waits is forgotten, and its room is free") {
  Site site;
  while (site.arrive(2, 1000 + site.last) != Ruling::wait) continue;
  CHECK(site.door.figures().waiting == 1);
  site.door.over(site.now, QueryId{site.last}, {});
  CHECK(site.door.figures().waiting == 0);
  site.door.over(site.now, QueryId{site.last}, {});  // and again: nothing
  site.finish(site.in.size());
  CHECK(site.door.figures().in == 0);
  CHECK(site.door.figures().threads_in == 0);
}

TEST_CASE("when a flood ends nobody pays for it: a client told to stay away finds the door open") {
  Site site;
  site.fill();
  REQUIRE(site.arrive(2, 42) == Ruling::turn_away);
  site.finish(10'000);
  while (!site.in.empty()) site.finish(10'000);
  site.now += 10ms;  // long before its time
  CHECK(site.arrive(2, 42) == Ruling::pass);
}

TEST_CASE("new weights count from the next request on; a member that is not known counts as the last one") {
  Site site;
  site.fill();
  throttle::Settings settings;
  settings.on = true;
  settings.weights = {0.01, 0.01, 0.98};
  site.door.configure(settings);
  const auto passed = site.passed;
  site.finish(4);
  CHECK(site.passed > passed);
  CHECK(site.arrive(17, 4711) != Ruling::pass);  // of the flooding member, as far as the door can tell
}

}  // namespace
}  // namespace yokestream::test
