// Limits how many threads this manager's queries may use, on each engine and in total.
//
// Both bounds adapt by additive increase and multiplicative decrease. The bound of an engine applies while
// that engine is slow or sheds queries. The bound over all engines (the pool) applies where this manager's
// share of an engine is smaller than one query, so that the per-engine bounds cannot limit it. An engine that
// sheds a query receives none for a backoff time that doubles with each shed query.
//
// All bounds are in threads. `load_share`: this manager's share of the load, above 0 and at most 1.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class ConcurrencyBound {
 public:
  struct EngineState {
    double share = 1;  // fraction of the engine that this manager may use
    double bound = 1;  // threads, applied under pressure
    Time saturated_until = Time::min();
    Duration saturation_backoff{};
  };
  // Inputs of the bound over all engines.
  struct Pool {
    double cores = 0;  // of all engines that are up, scaled by their warm fractions
    double load_share = 1;
  };
  // A query that was served.
  struct Served {
    double threads = 1;  // of its class
    double congestion = 0;
    double engine_slowdown = 1;
    double engine_cores = 1;
    bool has_queued_queries = false;  // this manager's queue is not empty
  };

  EngineState new_engine(double cores, double load_share) const;
  // Updates the bound over all engines. `engines_up`: number of engines that are up.
  void refresh(const Pool& pool, double engines_up);
  void record_served(const Served& served, const Pool& pool, EngineState& engine);
  void record_shed(EngineState& engine, Time now) const;
  void record_response(EngineState& engine) const;  // halves the saturation backoff
  // Scales the bounds when this manager's share of the load changes by `factor`.
  void scale(double factor) { pool_bound_ *= factor; }
  void scale(EngineState& engine, double factor, double load_share) const;

  bool is_saturated(const EngineState& engine, Time now) const { return now < engine.saturated_until; }
  // Whether the engine's bound applies. Under pressure a query is sent only if it can meet its objective.
  bool is_under_pressure(const EngineState& engine, double engine_slowdown) const;
  // Maximum threads of this manager on an engine that already runs one of its queries.
  double engine_limit(const EngineState& engine, double engine_slowdown, double cores,
                      double warm_fraction) const;
  // Whether the bound over all engines permits another query with `query_threads` threads.
  bool pool_has_capacity(double running_threads, double query_threads, double congestion) const;

 private:
  double pool_bound_ = 0;
  double mean_share_cores_ = 0;  // this manager's share of an engine's cores, averaged over all engines
};

}  // namespace yokestream::policy
