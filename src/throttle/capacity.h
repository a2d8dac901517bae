// Learns how much work the engines can take: a limit on the threads of all requests in flight (admitted and
// not yet finished), and the rate at which the engines finish work.
//
// The limit is reduced when requests take much longer than the best latency of their class, and raised when
// the latency is near the best and requests are queued. Both steps are multiplicative, because additive steps
// would be too slow when several engines fail at once. The limit has a floor per core, so that a slowdown
// with a cause outside the engines, which no limit can cure, does not starve them, and a ceiling per core.
//
// No I/O and no clock: every event comes with its time. Memory: one record per class.
#pragma once

#include <cstddef>
#include <vector>

#include "throttle/outcome.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

class Capacity {
 public:
  Capacity(std::size_t classes, double initial_threads_per_core);

  // Sets this manager's part of the cores of the engines that are up. 0: not known.
  void set_cores(double cores);
  // A request has finished. `stretch` is its latency divided by its unloaded latency, 0 if it was not served;
  // `cost` is in core seconds; `has_queued` tells whether requests are queued at the throttle.
  void on_finished(Time now, std::size_t query_class, double stretch, double cost, bool has_queued);
  // Calls on_finished() or on_rejected(), by the outcome of a request that was estimated at `estimated_cost`.
  void on_request_finished(Time now, std::size_t query_class, double threads, double estimated_cost,
                           const Outcome& outcome, bool has_queued);
  // The decision module rejected an admitted request: more is in flight than the engines can take.
  void on_rejected(Time now, double cost, bool has_queued);
  // Closes the measurement window when it is due, also when no request finishes.
  void tick(Time now, bool has_queued);

  double concurrency_limit() const { return limit_; }  // threads
  // Core seconds of work that the engines finish per second.
  double drain_rate() const { return drain_rate_; }
  double stretch() const;  // recent latency divided by the best latency; 1: at best

 private:
  struct ClassBaseline {
    double best_log_stretch = 0;  // falls quickly and rises slowly
    bool seen = false;
  };
  void close_window(Time now, bool has_queued);

  const double initial_threads_per_core_;
  double cores_ = 1, limit_, drain_rate_;
  bool drain_rate_learned_ = false;
  std::vector<ClassBaseline> classes_;
  // Moving average of the logarithm of stretch over the class's best. Weighted by cost, because short queries
  // overtake others by priority and do not show congestion.
  double log_stretch_ = 0;
  Time window_start_{}, last_reduction_{};
  double window_cost_ = 0, window_log_stretch_ = 0, window_weight_ = 0;  // sums
  int window_count_ = 0;
};

}  // namespace yokestream::throttle
