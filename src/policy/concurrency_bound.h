// How many threads this manager may run, at each engine and in all.
//
// Two bounds adapt by additive increase and multiplicative decrease. The bound of an engine binds where that
// engine is slow or turned queries away. The bound over all engines binds where this manager's share of an
// engine is less than one query, so that no engine's own bound can. An engine that turns queries away gets
// none for a while, twice as long each time.
//
// All in threads. `load_share`: this manager's share of the load, above 0 and at most 1.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class ConcurrencyBound {
 public:
  struct EngineState {
    double share = 1;  // of the engine, that this manager takes for its own
    double bound = 1;  // threads under pressure
    Time saturated_until = Time::min();
    Duration saturation_backoff{};
  };
  // What the bound over all engines is made of.
  struct Pool {
    double cores = 0;  // of all engines that are up, as warm as they are
    double load_share = 1;
  };
  // A query that was served.
  struct Served {
    double threads = 1;  // of its class
    double congestion = 0;
    double engine_slowdown = 1;
    double engine_cores = 1;
    bool has_queued_queries = false;  // in this manager's queue
  };

  EngineState new_engine(double cores, double load_share) const;
  // Takes in what the engines are now. `engines_up`: how many.
  void refresh(const Pool& pool, double engines_up);
  void record_served(const Served& served, const Pool& pool, EngineState& engine);
  void record_shed(EngineState& engine, Time now) const;
  void record_response(EngineState& engine) const;  // the engine works: its backoff halves
  // This manager's part of the load changes by `factor`.
  void scale(double factor) { pool_bound_ *= factor; }
  void scale(EngineState& engine, double factor, double load_share) const;

  bool is_saturated(const EngineState& engine, Time now) const { return now < engine.saturated_until; }
  // Whether the engine's bound binds now, and only an answer within the objective is worth its work.
  bool is_under_pressure(const EngineState& engine, double engine_slowdown) const;
  // Threads that this manager may run at an engine on which it runs something already.
  double engine_limit(const EngineState& engine, double engine_slowdown, double cores,
                      double warm_fraction) const;
  // Whether the bound over all engines lets a query of so many threads go.
  bool pool_has_capacity(double running_threads, double query_threads, double congestion) const;

 private:
  double pool_bound_ = 0;
  double mean_share_cores_ = 0;  // cores of an engine, in the mean, that are this manager's
};

}  // namespace yokestream::policy
