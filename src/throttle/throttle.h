// The throttle: the admission stage in front of the scheduler and the decision module. It admits, queues or
// rejects each request, so that a flood from one tenant does not reduce the shares of the others.
//
//  - It is given events with a time and returns decisions, which the dispatcher carries out. It does no I/O
//    and reads no clock. It decides once on each request: an admitted request belongs to the next stage. So
//    the throttle can never make a load run twice, and a rejection is always harmless.
//  - Below the concurrency limit (capacity.h) every request is admitted at once, so an idle or lightly loaded
//    throttle has no effect. At the limit requests wait in fair queues (fair_queue.h). A request that would
//    wait too long, or could not finish in the time left after its wait, is rejected at once with a
//    retry-after time.
//  - A retry-after time comes with a reservation (reservations.h): a turn in the tenant's share of the drain
//    rate. Turns are assigned one after another, so that rejected clients do not come back at the same
//    moment. A client that comes back at that time goes before new requests; one that comes back early is
//    told the same time again, at the cost of one table look-up.
//
// Not thread-safe. Memory: allocated at the start and bounded by Settings (see memory_bytes()), whatever the
// number of clients, but for one record per admitted request, whose number the dispatcher's limits bound.
#pragma once

#include <array>
#include <cstdint>
#include <memory_resource>
#include <optional>
#include <unordered_map>
#include <vector>

#include "throttle/capacity.h"
#include "throttle/client_queues.h"
#include "throttle/cost.h"
#include "throttle/fair_queue.h"
#include "throttle/outcome.h"
#include "throttle/reservations.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

struct Arrival {
  QueryId query{};
  std::size_t tenant = 0, query_class = 0;
  std::uint64_t client = 0;     // requests of one client share a queue and a reservation
  double estimated_work_s = 0;  // core seconds as estimated by the client; 0: no estimate
  double threads = 1;           // on which it will run
  Time deadline{};
};

enum class Decision { admit, queue, reject };
struct Admission {
  Decision decision = Decision::admit;
  Duration retry_after{};  // if rejected
  double cost = 0;         // estimate in core seconds, unless rejected
};
struct QueuedDecision {  // on a request that was queued
  QueryId query{};
  Admission admission;
};

// For operators; counters since the start. See docs/operators/door.md.
struct Metrics {
  std::uint64_t arrived = 0, admitted_immediately = 0, queued = 0, rejected = 0;
  std::uint64_t early_retries = 0;  // rejected because they came before their reservation
  std::uint64_t reservations_claimed = 0;
  std::uint64_t reservations_admitted = 0;  // claimed ones that were admitted or queued
  std::size_t queue_length = 0, in_flight = 0, reservations = 0;
  double concurrency_limit = 0, threads_in_flight = 0, drain_rate = 0, stretch = 1;
};

class Throttle {
 public:
  Throttle(Settings settings, std::size_t tenants, std::size_t classes);

  // Weights, times and fractions take effect at once; the sizes of queue and tables do not change.
  void configure(const Settings& settings);
  void set_cores(double cores) { capacity_.set_cores(cores); }
  double limit_multiplier() const { return settings_.limit_multiplier; }

  Admission offer(Time now, const Arrival& arrival);
  // The request is over: cancelled while queued, or finished after its admission.
  void on_request_finished(Time now, QueryId query, const Outcome& outcome);
  // The next queued request that is to be admitted or rejected now; nullopt: none.
  std::optional<QueuedDecision> next_decision(Time now);
  Time next_due(Time now) const;  // when to call next_decision() even if nothing happens before

  Metrics metrics() const;
  static std::size_t memory_bytes(const Settings& settings, std::size_t tenants);

 private:
  struct InFlight {
    std::uint32_t tenant = 0, queue = 0, query_class = 0;
    double reported_s = 0, cost = 0, threads = 1;
    Time admitted_at{};
  };
  struct Queued {
    FairQueue::Ref ref = FairQueue::kNone;
    std::uint32_t query_class = 0;
    double reported_s = 0;
    std::uint64_t client_key = 0;
  };
  struct Tenant {
    double threads_in_flight = 0;
    std::size_t in_flight = 0;
    Time last_arrival{};
    std::array<Time, ClientQueues::kQueues> last_reserved{};  // by queue: due time of the last reservation
  };
  bool may_pass(std::size_t tenant, double threads) const;
  double share(std::size_t tenant) const { return queue_.weight(tenant) / total_weight_; }
  double drain_rate_of(Time now, std::size_t tenant) const;
  Duration service_time(const Arrival& arrival, double cost) const;
  void add_in_flight(Time now, QueryId query, const InFlight& request);
  Admission reject(Time now, std::size_t tenant, std::size_t queue, std::uint64_t client_key, double cost);
  QueuedDecision reject_queued(Time now, FairQueue::Ref ref);

  Settings settings_;
  Capacity capacity_;
  CostEstimator cost_;
  ClientQueues client_queues_;
  FairQueue queue_;
  Reservations reservations_;
  std::vector<Tenant> tenants_;
  double total_weight_ = 1, threads_in_flight_ = 0;
  std::pmr::unsynchronized_pool_resource pool_;  // reuses the map nodes without heap allocations
  std::pmr::unordered_map<QueryId, InFlight> in_flight_{&pool_};
  std::pmr::unordered_map<QueryId, Queued> queued_{&pool_};
  std::vector<QueuedDecision> evicted_;
  std::uint64_t random_;
  Metrics metrics_;
};

}  // namespace yokestream::throttle
