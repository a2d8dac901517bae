// The scheduler: the admission stage between the throttle and the decision module. When more work is offered
// than the engines can take, it decides which request is dispatched next: between teams by budget, within a
// team by age. It gives every request an estimate of its wait on arrival.
//
//  - It is notified of events with their times and returns verdicts, which the dispatcher carries out. It
//  does
//    no I/O and reads no clock. Queued requests are unknown to the decision module, so none of them can have
//    run.
//  - While there is capacity every request is admitted immediately. Otherwise requests are queued
//    (request_queue.h) and the next one is selected by budget and fairness (budget_accounts.h,
//    team_selector.h). A request whose forecast wait (wait_forecast.h) is too long is rejected immediately.
//  - A wait estimate is made once, on arrival, and stored with the request. The actual wait is compared with
//  it
//    to correct later estimates.
//  - No request is queued for longer than Settings::max_wait: by then it is dispatched or rejected.
//  - It alone computes the priorities that engines are given (engine_priorities.h).
//
// Not thread-safe. Memory: preallocated for Settings::max_queued entries (memory_bytes()), and one record per
// admitted request, which the dispatcher's own limits bound.
#pragma once

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "scheduler/budget_accounts.h"
#include "scheduler/engine_priorities.h"
#include "scheduler/request_queue.h"
#include "scheduler/service_times.h"
#include "scheduler/team_selector.h"
#include "scheduler/wait_estimate.h"
#include "scheduler/wait_forecast.h"
#include "throttle/capacity.h"
#include "throttle/cost.h"
#include "throttle/outcome.h"

namespace yokestream::scheduler {

// Costs and work are in seconds of one core.
struct Arrival {
  QueryId query{};
  std::size_t tenant = 0, cls = 0;
  double estimated_work_s = 0;  // 0: no estimate
  double threads = 1;
  Time deadline{}, soft_deadline{};
  bool is_load = false;
};

enum class Decision { admit, queue, reject };
struct Verdict {
  Decision decision = Decision::admit;
  Duration retry_after{};  // if rejected
  double cost = 0;         // estimate, unless rejected
  WaitEstimate wait_estimate;
};
struct QueueVerdict {  // on a request that was queued
  QueryId query{};
  Verdict verdict;
};

// Counts since the start and current values, for operators. See docs/operators/queues.md.
struct Metrics {
  std::uint64_t arrived = 0, admitted_immediately = 0, queued = 0, rejected = 0;
  std::uint64_t expired = 0, dispatched_overdue = 0;
  std::uint64_t estimates = 0, accurate_estimates = 0;  // of dispatched requests
  // Of these, those with an estimated or actual wait of kShortWaitS or longer.
  std::uint64_t long_estimates = 0, accurate_long_estimates = 0;
  std::size_t waiting = 0, admitted = 0, demoted = 0;
  std::uint64_t priority_changes = 0;
  double throughput = 0, concurrency_limit = 0, threads_in_use = 0, longest_wait_s = 0;
};

// An estimate is accurate if it is within this fraction of the actual wait, or if both are short waits.
constexpr double kAccuracyTolerance = 0.25, kShortWaitS = 0.1;
bool is_accurate(double estimated_wait_s, double actual_wait_s);

// Balances, queued requests and the throughput as a value. Times are relative to the time of the snapshot.
struct Snapshot {
  struct Request {
    QueryId query{};
    std::string team;
    std::size_t tenant = 0, cls = 0;
    double estimated_work_s = 0, cost = 0, threads = 1, estimated_wait_s = 0;
    Duration waited{}, due_in{}, expires_in{};
  };
  std::vector<BudgetAccounts::Balance> balances;
  std::vector<Request> queued;
  double throughput = 0;
};

class Scheduler {
 public:
  Scheduler(Time now, Settings settings, std::size_t classes);

  // Teams may be added, removed and changed; queued requests of a removed team move to their tenant's new
  // team.
  void configure(Time now, const Settings& settings);
  void set_cores(Time now, double cores);

  Verdict offer(Time now, const Arrival& arrival);
  // What offer() would estimate; changes nothing.
  WaitEstimate estimate_wait(Time now, const Arrival& arrival);
  // The request was abandoned while queued or has finished after it was admitted.
  void on_request_finished(Time now, QueryId query, const throttle::Outcome& outcome);
  std::optional<QueueVerdict> next(Time now);  // the next queued request to admit or reject now, if any
  Time next_due(Time now) const;

  // Attempts of admitted requests: the priority to start with, and its changes.
  unsigned on_attempt_started(Time now, QueryId query, const std::string& engine, unsigned priority);
  std::optional<unsigned> on_priority_requested(Time now, QueryId query, unsigned priority) {
    return priorities_.on_priority_requested(now, query, priority);
  }
  void on_attempt_ended(QueryId query) { priorities_.on_attempt_ended(query); }
  std::optional<EnginePriorities::Change> next_priority_change(Time now);

  Metrics metrics() const;
  std::size_t team_of(std::size_t tenant) const;
  std::size_t teams() const { return settings_.teams.size(); }
  std::size_t queued(std::size_t team) const { return queue_.count(team); }
  BudgetStatus budget_status(Time now, std::size_t team) { return accounts_.status(now, team); }
  double budget_balance(Time now, std::size_t team) { return accounts_.budget_balance(now, team); }
  Snapshot snapshot(Time now);
  // Returns the requests for which there was no room; the caller has to reject them.
  std::vector<QueryId> restore(Time now, const Snapshot& snapshot);
  static std::size_t memory_bytes(const Settings& settings);

 private:
  struct Admitted {  // and not finished
    std::size_t team = 0, tenant = 0, cls = 0;
    double estimated_work_s = 0, cost = 0, threads = 1;
    Time admitted_at{}, soft_deadline{};
    bool borrowed = false, is_load = false;
    double threads_held = 1;  // counted in threads_in_use_
    double typical_cost = 0;  // without the correction to the mean
  };
  struct Queued {
    EntryRef ref = 0;
    Time soft_deadline{};
    bool is_load = false;
  };
  // Ratio of a class's mean cost to its typical cost (a median), which bad plans and a wide spread raise.
  struct MeanCostRatio {
    double typical_sum = 1, actual_sum = 1;  // decaying
    void add(double typical, double actual) {
      typical_sum = 0.99 * typical_sum + typical, actual_sum = 0.99 * actual_sum + actual;
    }
    double value() const { return std::clamp(actual_sum / typical_sum, 0.2, 20.0); }
  };
  // Vectors are by class, times in seconds from arrival, rates in engine-seconds per second.
  struct TeamState {
    std::vector<MeanCostRatio> mean_cost_ratio;
    std::vector<double> to_soft_deadline;  // moving average
    std::vector<double> arrival_rate;      // moving average, as of arrival_rate_at
    std::vector<Time> arrival_rate_at;
    std::vector<double> to_due;  // moving average
    // Actual wait over the uncorrected forecast, by forecast_bucket(): short forecasts are off in other ways
    // than long ones.
    std::array<Distribution, 3> forecast_errors{Distribution{0.1, 10, 4000}, Distribution{0.1, 10, 4000},
                                                Distribution{0.1, 10, 4000}};
  };
  struct Estimate {  // for a request that arrives now
    std::size_t team = 0;
    double typical_cost = 0, cost = 0;  // cost: what the accounts are charged
    double raw_forecast_s = 0;          // of its wait, before bias correction
    double to_due = 0;                  // seconds until its own due time, without its class's order
    double to_soft_deadline = 0;        // seconds
    Time due{}, expires{};
    Duration max_wait{};  // rejected if the estimated wait is longer
    WaitEstimate wait;
  };
  void rebuild_teams(Time now);
  unsigned level(std::size_t team, std::size_t cls) const;
  double arrival_rate(Time now, std::size_t team, std::size_t cls) const;
  void add_arrival(Time now, std::size_t team, std::size_t cls, double cost);
  void fill_fluid_queues(Time now);
  double forecast_wait_s(Time now, std::size_t team, Time due);
  Estimate estimate(Time now, const Arrival& arrival, bool has_capacity);
  std::size_t other_overdue_teams(Time now, std::size_t team) const;
  bool has_capacity(Time now, std::size_t team);
  double typical_cost(const Admitted& request) const {
    return cost_.estimate_s(request.tenant, request.cls, request.estimated_work_s);
  }
  void admit(Time now, QueryId query, const Admitted& request, bool overdue = false);
  void record_wait(Time now, const Entry& entry);
  Verdict reject(const Estimate& estimate, Duration max_wait, QueryId query) const;
  void update_throughput(Time now);

  Settings settings_;
  std::size_t classes_;
  throttle::Capacity capacity_;
  throttle::CostEstimator cost_;
  BudgetAccounts accounts_;
  TeamSelector selector_;
  RequestQueue queue_;
  ServiceTimes service_times_;
  EnginePriorities priorities_;
  std::vector<TeamState> teams_;
  std::vector<FluidQueue> fluid_queues_, fluid_scratch_;  // reused, so that forecasts do not allocate
  std::unordered_map<QueryId, Admitted> admitted_;
  std::unordered_map<QueryId, Queued> queued_;
  double threads_in_use_ = 0, cores_ = 0;  // threads of admitted requests; demoted ones count in part
  // Cost dispatched to engines while requests wait, engine-seconds per second.
  double throughput_ = 0, window_cost_ = 0;
  Time window_start_{};
  int throughput_windows_ = 0, deviating_windows_ = 0;
  Metrics metrics_;
};

}  // namespace yokestream::scheduler
