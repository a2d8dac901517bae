// The throttle and its parts, each against a plain reference or its stated bounds, on a simulated clock.
#include "throttle/throttle.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <deque>

#include "helper.h"

namespace yokestream::test {
namespace {

using throttle::Arrival;
using throttle::Decision;
using throttle::FairQueue;
using throttle::QueryId;
using throttle::Throttle;

constexpr Time kStart{Duration(1000s)};

TEST_CASE("fair queue: random operations agree with a plain reference in order, size and earliest expiry") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SeededRandom steps(seed);
    const std::size_t tenants = 2 + steps.below(4), entries = 64;
    FairQueue queue(tenants, entries);
    for (std::size_t tenant = 0; tenant < tenants; ++tenant)
      queue.set_weight(tenant, 1.0 + static_cast<double>(steps.below(9)));
    // The reference: the queued entries by tenant and queue, in order of arrival.
    std::map<std::pair<std::uint32_t, std::uint32_t>, std::deque<std::pair<QueryId, FairQueue::Ref>>>
        expected;
    std::size_t count = 0;
    std::uint64_t last_id = 0;
    for (int i = 0; i < 3000; ++i) {
      const auto kind = steps.below(10);
      if (kind < 5 && !queue.full()) {
        FairQueue::Entry e;
        e.query = QueryId{++last_id};
        e.tenant = static_cast<std::uint32_t>(steps.below(tenants));
        e.queue = static_cast<std::uint32_t>(steps.below(4));
        e.cost = 1.0 + static_cast<double>(steps.below(8));
        e.expiry = kStart + Duration(static_cast<Duration::rep>(steps.below(1000)));
        const bool at_front = steps.below(8) == 0;
        auto& line = expected[{e.tenant, e.queue}];
        const auto ref = queue.push(e, at_front);
        at_front ? line.emplace_front(e.query, ref) : line.emplace_back(e.query, ref);
        ++count;
      } else if (kind == 5 && count > 0) {
        auto it = expected.begin();
        std::advance(it, static_cast<long>(steps.below(expected.size())));
        if (it->second.empty()) continue;
        const auto at = steps.below(it->second.size());
        CHECK(queue.remove(it->second[at].second).query == it->second[at].first);
        it->second.erase(it->second.begin() + static_cast<long>(at));
        --count;
      } else if (kind > 5) {
        const std::size_t barred = steps.below(tenants + 1);
        const auto taken = queue.pop([&](std::size_t tenant, double) { return tenant != barred; });
        bool any = false;
        for (const auto& [key, line] : expected) any = any || (!line.empty() && key.first != barred);
        REQUIRE(taken.has_value() == any);
        if (!taken) continue;
        auto& line = expected[{taken->tenant, taken->queue}];
        REQUIRE_FALSE(line.empty());
        CHECK(line.front().first == taken->query);  // first in, first out within a queue
        line.pop_front();
        --count;
      }
      CHECK(queue.size() == count);
      Time earliest = Time::max();
      for (const auto& [key, line] : expected) {
        for (const auto& [query, ref] : line) earliest = std::min(earliest, queue.at(ref).expiry);
      }
      if (count > 0) CHECK((queue.at(queue.earliest_expiry()).expiry == earliest));
    }
  }
}

TEST_CASE("fair queue: backlogged tenants are served by weight with a bounded lag, whatever their costs") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    SeededRandom steps(seed);
    FairQueue queue(3, 256);
    const double weights[] = {52, 35, 13}, max_cost = 8;
    double served[3] = {};
    for (std::size_t tenant = 0; tenant < 3; ++tenant) queue.set_weight(tenant, weights[tenant]);
    std::uint64_t last_id = 0;
    for (int i = 0; i < 2000; ++i) {
      for (std::uint32_t tenant = 0; tenant < 3; ++tenant) {
        while (queue.count(tenant) < 4)
          queue.push({QueryId{++last_id}, tenant, 0, 1.0 + static_cast<double>(steps.below(8)), 1, kStart});
      }
      const auto e = queue.pop([](std::size_t, double) { return true; });
      served[e->tenant] += e->cost;
      for (int a = 0; a < 3; ++a) {
        for (int b = 0; b < 3; ++b)
          CHECK(served[a] / weights[a] - served[b] / weights[b] <=
                max_cost / weights[a] + max_cost / weights[b] + 1e-9);
      }
    }
  }
}

TEST_CASE("fair queue: a tenant that was idle is served next but has saved up no credit") {
  FairQueue queue(2, 64);
  std::uint64_t last_id = 0;
  const auto push = [&](std::uint32_t tenant) { queue.push({QueryId{++last_id}, tenant, 0, 1, 1, kStart}); };
  const auto pop = [&] { return queue.pop([](std::size_t, double) { return true; })->tenant; };
  for (int i = 0; i < 20; ++i) push(0);
  for (int i = 0; i < 10; ++i) CHECK(pop() == 0);
  for (int i = 0; i < 8; ++i) push(1);
  int of_second = 0;
  CHECK(pop() <= 1);
  for (int i = 0; i < 8; ++i) of_second += pop() == 1;
  CHECK(of_second >= 4);
  CHECK(of_second <= 5);  // not all eight for the time it was idle
}

TEST_CASE("cost estimator: a tenant that reports a tenth of its cost is charged the real cost") {
  throttle::CostEstimator cost(2, 1);
  for (int i = 0; i < 60; ++i) {
    cost.record(0, 0, 0.1, 0.1);
    cost.record(1, 0, 0.01, 0.1);
  }
  CHECK(cost.estimate_s(1, 0, 0.01) == doctest::Approx(0.1).epsilon(0.15));
  CHECK(cost.estimate_s(0, 0, 0.1) == doctest::Approx(0.1).epsilon(0.5));
  CHECK(cost.estimate_s(0, 0, 0) == doctest::Approx(0.1).epsilon(0.2));  // nothing reported: the mean
}

TEST_CASE("client queues: a heavy hitter gets its own queue; 100,000 other clients take no more memory") {
  const std::size_t tenants = 3;
  throttle::ClientQueues client_queues(tenants, 7);
  SeededRandom steps(3);
  Time now = kStart;
  std::size_t own_queue = 0, total = 0;
  for (int i = 0; i < 200'000; ++i) {
    now += 100us;
    client_queues.record_and_select(now, 1, 1000 + steps.below(100'000), 1);
    if (i % 2) continue;
    const auto queue = client_queues.record_and_select(now, 1, 5, 1);  // a third of all requests
    ++total, own_queue += queue >= throttle::ClientQueues::kHashedQueues;
  }
  CHECK(static_cast<double>(own_queue) > 0.99 * static_cast<double>(total));
  // The bound that the operators' page states.
  CHECK(Throttle::memory_bytes(throttle::Settings{}, tenants) < 1'500'000);
}

TEST_CASE("client queues: a client's queue changes with the seed, so that it is not shared for long") {
  throttle::ClientQueues client_queues(1, 9);
  std::set<std::size_t> queues;
  for (int i = 0; i < 40; ++i) queues.insert(client_queues.record_and_select(kStart + i * 6s, 0, 77, 1e-9));
  CHECK(queues.size() > 5);
}

TEST_CASE("reservations are kept until they expire, and a full table accepts no more") {
  throttle::Reservations reservations(16, 100ms);
  CHECK(reservations.add(kStart, 1, {kStart + 1s, 1}));
  CHECK(reservations.find(kStart, 1).has_value());
  CHECK_FALSE(reservations.find(kStart, 2).has_value());
  CHECK(reservations.claim(kStart + 1s, 1).has_value());
  CHECK_FALSE(reservations.claim(kStart + 1s, 1).has_value());
  for (std::uint64_t key = 10; key < 26; ++key) CHECK(reservations.add(kStart, key, {kStart + 1s, 1}));
  CHECK_FALSE(reservations.add(kStart, 99, {kStart + 1s, 1}));
  CHECK(reservations.add(kStart + 2s, 99, {kStart + 3s, 1}));  // the others have expired
  CHECK_FALSE(reservations.find(kStart + 2s, 10).has_value());
}

TEST_CASE("capacity: the limit follows a slowdown of the engines within 3 s and recovers within 5 s") {
  for (const double times : {2.0, 2.5}) {
    throttle::Capacity capacity(1, 2);
    capacity.set_cores(16);
    Time now = kStart;
    const auto run = [&](Duration length, double slowdown) {
      const Time end = now + length;
      while (now < end) {
        now += 20ms;
        // Closed loop: the latency grows with the requests in flight, as many as the limit admits.
        const double stretch = slowdown * std::max(1.0, capacity.concurrency_limit() / 24);
        capacity.on_finished(now, 0, stretch, 0.3 / slowdown, true);
      }
    };
    run(5s, 1);
    const double before = capacity.concurrency_limit();
    CHECK(before > 16);
    run(3s, times * 1.6);
    CHECK(capacity.concurrency_limit() < 0.75 * before);
    // Never below one thread per core: a slowdown from outside must not starve the engines.
    CHECK(capacity.concurrency_limit() >= 16);
    run(5s, 1);
    CHECK(capacity.concurrency_limit() > 0.9 * before);
  }
}

// A throttle in front of 4 cores; each request runs for 0.1 s. Tenant 2 is the one that floods.
struct Site {
  explicit Site(throttle::Settings s = {}) : throttle((s.on = true, s), 3, 2) { throttle.set_cores(4); }
  Throttle throttle;
  Time now = kStart;
  std::uint64_t last_id = 0;
  std::deque<QueryId> in_flight;
  std::map<std::uint64_t, Duration> retry_after;  // of rejected requests
  std::size_t admitted = 0;

  Decision arrive(std::size_t tenant, std::uint64_t client, Duration time_left = 4s) {
    Arrival a;
    a.query = QueryId{++last_id};
    a.tenant = tenant, a.client = client, a.estimated_work_s = 0.1, a.deadline = now + time_left;
    const auto admission = throttle.offer(now, a);
    if (admission.decision == Decision::admit) in_flight.push_back(a.query), ++admitted;
    if (admission.decision == Decision::reject) retry_after[last_id] = admission.retry_after;
    take_decisions();
    return admission.decision;
  }
  void take_decisions() {
    while (const auto next = throttle.next_decision(now)) {
      if (next->admission.decision == Decision::admit)
        in_flight.push_back(next->query), ++admitted;
      else
        retry_after[static_cast<std::uint64_t>(next->query)] = next->admission.retry_after;
    }
  }
  void finish(std::size_t n = 1) {
    for (; n > 0 && !in_flight.empty(); --n) {
      throttle.on_request_finished(now, in_flight.front(), {true, 100ms, 0.1});
      in_flight.pop_front();
    }
    take_decisions();
  }
  void flood() {  // until the flooding tenant is rejected
    while (arrive(2, 1000 + last_id) != Decision::reject) continue;
  }
};

TEST_CASE("a lightly loaded throttle admits every request at once") {
  Site site;
  for (int i = 0; i < 500; ++i) {
    CHECK(site.arrive(static_cast<std::size_t>(i % 3), 1) == Decision::admit);
    site.now += 30ms;
    site.finish();
  }
  CHECK(site.retry_after.empty());
}

TEST_CASE("in a flood, a tenant within its share is admitted at once or before the flood's queued requests") {
  Site site;
  site.flood();
  CHECK(site.throttle.metrics().queue_length > 0);
  const auto decision = site.arrive(0, 9);
  CHECK(decision != Decision::reject);
  if (decision == Decision::queue) {
    const auto before = site.admitted;
    site.finish();
    CHECK(site.admitted > before);
    CHECK(site.in_flight.back() == QueryId{site.last_id});
  }
}

TEST_CASE("retry-after times are spread, do not change for early retries, and are honoured when due") {
  Site site;
  site.flood();
  std::vector<std::pair<Time, std::uint64_t>> due_times;
  for (std::uint64_t client = 1; client <= 20; ++client) {
    while (site.arrive(2, client) != Decision::reject) continue;  // until it has used its share
    due_times.emplace_back(site.now + site.retry_after[site.last_id], client);
    const auto early = site.throttle.metrics().early_retries;
    CHECK(site.arrive(2, client) == Decision::reject);  // an immediate retry gets the same time
    CHECK((site.now + site.retry_after[site.last_id] == due_times.back().first));
    CHECK(site.throttle.metrics().early_retries == early + 1);
  }
  std::sort(due_times.begin(), due_times.end());
  for (std::size_t i = 5; i < due_times.size(); ++i)  // by the throttle's estimate 40 a second are served
    CHECK((due_times[i].first - due_times[i - 5].first > 5ms));
  std::size_t accepted = 0;
  for (const auto& [due, client] : due_times) {
    while (site.now < due) {
      site.now += 5ms;
      if (site.now.time_since_epoch().count() % 25'000'000 == 0) site.finish();  // 4 cores: 40 a second
      site.arrive(2, 1000 + site.last_id);                                       // the flood goes on
    }
    accepted += site.arrive(2, client) != Decision::reject;
  }
  CHECK(accepted >= 18);
}

TEST_CASE("a full queue evicts the newest request of the tenant with the largest backlog") {
  throttle::Settings settings;
  settings.max_queued = 8;
  settings.max_wait = 60s;
  Site site(settings);
  while (site.throttle.metrics().queue_length < 8) site.arrive(2, 1000 + site.last_id, 100s);
  const auto before = site.retry_after.size();
  CHECK(site.arrive(2, 7, 100s) == Decision::reject);  // of the tenant with the largest backlog itself
  while (site.arrive(0, 1000 + site.last_id, 100s) == Decision::admit) continue;
  CHECK(site.retry_after.size() == before + 2);
  CHECK(site.throttle.metrics().queue_length == 8);
}

TEST_CASE("a queued request is rejected as soon as it can no longer finish before its deadline") {
  Site site;
  while (site.arrive(2, 1000 + site.last_id, 500ms) != Decision::queue) continue;
  const auto queued = site.last_id;
  for (int i = 0; i < 10 && !site.retry_after.count(queued); ++i) {
    site.now = site.throttle.next_due(site.now);
    site.take_decisions();
  }
  REQUIRE(site.retry_after.count(queued));
  CHECK((site.now < kStart + 500ms));
}

TEST_CASE("a request that is cancelled while queued frees its entry, and nothing stays counted") {
  Site site;
  while (site.arrive(2, 1000 + site.last_id) != Decision::queue) continue;
  CHECK(site.throttle.metrics().queue_length == 1);
  site.throttle.on_request_finished(site.now, QueryId{site.last_id}, {});
  CHECK(site.throttle.metrics().queue_length == 0);
  site.throttle.on_request_finished(site.now, QueryId{site.last_id}, {});  // a second time: no effect
  site.finish(site.in_flight.size());
  CHECK(site.throttle.metrics().in_flight == 0);
  CHECK(site.throttle.metrics().threads_in_flight == 0);
}

TEST_CASE("after a flood, a client that was told to come back later is admitted when it comes back early") {
  Site site;
  site.flood();
  REQUIRE(site.arrive(2, 42) == Decision::reject);
  site.finish(10'000);
  while (!site.in_flight.empty()) site.finish(10'000);
  site.now += 10ms;  // long before its retry-after time
  CHECK(site.arrive(2, 42) == Decision::admit);
}

TEST_CASE("new weights apply from the next request; an unknown tenant is treated as the last one") {
  Site site;
  site.flood();
  throttle::Settings settings;
  settings.on = true;
  settings.weights = {0.01, 0.01, 0.98};
  site.throttle.configure(settings);
  const auto admitted = site.admitted;
  site.finish(4);
  CHECK(site.admitted > admitted);
  CHECK(site.arrive(17, 4711) != Decision::admit);  // tenant 17 is treated as the flooding tenant 2
}

}  // namespace
}  // namespace yokestream::test
