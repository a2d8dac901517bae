// The queues: the station between the door and the decision module. It decides whose work the engines get
// next when they have less to give than is asked for: by team and its budget, within a team by age. It tells
// who arrives how long he will wait.
//
//  - Told events with a time, it answers with rulings; the core carries them out. No I/O, no clock, no client
//    and no engine. What waits here has not been told to the module, so none of it can have run.
//  - While there is room everybody passes at once, and nothing changes. Then teams wait (waiting.h), the next
//    is chosen by budget and fairness (accounts.h, fair_order.h); who would wait too long, by forecast
//    (forecast.h), is turned away at once.
//  - A quote is given once, on arrival, and kept beside the request; what came of it corrects the next ones.
//  - No admitted request waits longer than Settings::most_wait: by then it has gone or is turned away.
//  - It alone says what priority engines are told (bands.h).
//
// One thread may call it. Memory: made at the start for Settings::waiting entries (bytes()), and one record a
// request that is in, which the core's own limits bound.
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

struct Arrival {
  QueryId query{};
  std::size_t tenant = 0, cls = 0;
  double estimated_work_s = 0;  // the estimate, in seconds of one core; 0: none
  double threads = 1;           // that it runs on
  Time deadline{}, soft_deadline{};
  bool is_load = false;
};

enum class Decision { admit, queue, reject };
struct Verdict {
  Decision decision = Decision::admit;
  Duration retry_after{};  // turned away: when to come back
  double cost = 0;         // else: what it is taken to cost, in seconds of one core
  WaitEstimate wait_estimate;
};
struct QueueVerdict {  // one that waited
  QueryId query{};
  Verdict verdict;
};

// What operators see; counts since the start. See docs/operators/queues.md.
struct Metrics {
  std::uint64_t arrived = 0, admitted_immediately = 0, queued = 0, rejected = 0, expired = 0,
                dispatched_overdue = 0;
  std::uint64_t estimates = 0, accurate_estimates = 0;            // of those that went
  std::uint64_t long_estimates = 0, accurate_long_estimates = 0;  // quoted or waited kShort or longer
  std::size_t waiting = 0, admitted = 0, demoted = 0;
  std::uint64_t priority_changes = 0;
  double throughput = 0, concurrency_limit = 0, threads_in_use = 0, longest_wait_s = 0;
};

// A quote is right within this part of what came; waits under kShort on both sides are.
constexpr double kAccuracyTolerance = 0.25, kShortWaitS = 0.1;
bool is_accurate(double estimated_wait_s, double actual_wait_s);

// The state as a value: balances, what waits, what is expected. Times are counted from the snapshot's moment.
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

  // Teams may come, go and change; of one that goes, what waits goes on in its member's new team.
  void configure(Time now, const Settings& settings);
  void set_cores(Time now, double cores);

  Verdict offer(Time now, const Arrival& arrival);
  WaitEstimate estimate_wait(Time now, const Arrival& arrival);  // what arrive() would quote; changes nothing
  // Over, in whatever way: given up while it waited, or finished after it passed.
  void on_request_finished(Time now, QueryId query, const throttle::Outcome& outcome);
  std::optional<QueueVerdict> next(
      Time now);  // the next that is to go on or to be turned away; nullopt: nobody
  Time next_due(Time now) const;

  // The attempts of what has passed: the priority to start with, and changes of it.
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
  // Those that found no room are returned: they are owed a refusal.
  std::vector<QueryId> restore(Time now, const Snapshot& snapshot);
  static std::size_t memory_bytes(const Settings& settings);

 private:
  struct Admitted {  // passed, not over
    std::size_t team = 0, tenant = 0, cls = 0;
    double estimated_work_s = 0, cost = 0, threads = 1;
    Time admitted_at{}, soft_deadline{};
    bool borrowed = false, is_load = false;
    double threads_held = 1;  // threads that it counts for
    double typical_cost = 0;  // cost without surcharge
  };
  struct Queued {
    EntryRef ref = 0;
    Time soft_deadline{};
    bool is_load = false;
  };
  // What a kind costs on the mean over what is usual (a median): the part of bad plans and of wide spread.
  struct MeanCostRatio {
    double typical_sum = 1, actual_sum = 1;  // sums that fade
    void add(double typical, double actual) {
      typical_sum = 0.99 * typical_sum + typical, actual_sum = 0.99 * actual_sum + actual;
    }
    double value() const { return std::clamp(actual_sum / typical_sum, 0.2, 20.0); }
  };
  struct TeamState {
    std::vector<MeanCostRatio> mean_cost_ratio;  // by class
    std::vector<double> to_soft_deadline;  // by class, seconds from arrival to the wanted time, smoothed
    std::vector<double> arrival_rate;      // by class, engine-seconds a second, smoothed
    std::vector<Time> arrival_rate_at;
    std::vector<double> to_due;  // by class, seconds from arrival to due, smoothed
    // Wait that came over the forecast before correction, by the forecast's size: short ones are off in other
    // ways than long ones.
    std::array<Distribution, 3> forecast_errors{Distribution{0.1, 10, 4000}, Distribution{0.1, 10, 4000},
                                                Distribution{0.1, 10, 4000}};
  };
  struct Estimate {  // of one that would arrive now
    std::size_t team = 0;
    double typical_cost = 0, cost = 0;  // seconds of one core: usual, and charged
    double raw_forecast_s = 0;          // forecast of its wait before correction, seconds
    double to_due = 0,
           to_soft_deadline = 0;  // seconds from now to its due time, taken by itself; to its wanted time
    Time due{}, expires{};
    Duration max_wait{};  // a longer wait is not worth while
    WaitEstimate wait;
  };
  void rebuild_teams(Time now);
  unsigned level(std::size_t team, std::size_t cls) const;
  double arrival_rate(Time now, std::size_t team, std::size_t cls) const;
  void add_arrival(Time now, std::size_t team, std::size_t cls, double cost);
  void fill_fluid_queues(Time now);
  double forecast_wait_s(Time now, std::size_t team, Time due);
  Estimate estimate(Time now, const Arrival& arrival, bool immediately);
  std::size_t other_overdue_teams(Time now, std::size_t team) const;
  bool has_capacity(Time now, std::size_t team);
  double typical_cost(const Admitted& request) const;
  void admit(Time now, QueryId query, const Admitted& request, bool overdue = false);
  void record_wait(Time now, const Entry& entry);
  Verdict reject(const Estimate& estimate, Duration max_wait, QueryId query) const;
  void update_throughput(Time now);

  Settings settings_;
  std::size_t classes_;
  throttle::Capacity capacity_;
  throttle::Cost cost_;
  BudgetAccounts accounts_;
  TeamSelector selector_;
  RequestQueue queue_;
  ServiceTimes service_times_;
  EnginePriorities priorities_;
  std::vector<TeamState> teams_;
  std::vector<FluidQueue> fluid_queues_, fluid_scratch_;  // kept for their memory
  std::unordered_map<QueryId, Admitted> admitted_;
  std::unordered_map<QueryId, Queued> queued_;
  double threads_in_use_ = 0, cores_ = 0;  // of what runs, sunk ones counted in part
  double throughput_ = 0,
         window_cost_ = 0;  // what goes to engines while somebody waits, engine-seconds a second
  Time window_start_{};
  int throughput_windows_ = 0, deviating_windows_ = 0;
  Metrics metrics_;
};

}  // namespace yokestream::scheduler
