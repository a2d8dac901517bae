// The admission threshold: the highest cost per value at which a query is admitted.
//
// Failure: demand exceeds the capacity of the engines for a long time, and the bound on this manager's own
// threads does not tell which queries to reject. Symptom: all queries wait and most are late. Guard: a
// threshold on the seconds of work per unit of priority weight, which is lowered while congestion is above
// its target, so that the queries with the highest cost per value are rejected first. Costs are logarithms of
// seconds of work per unit of weight.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class AdmissionThreshold {
 public:
  void record_arrival(double cost_per_value);
  void record_outcome();
  // Returns the seconds since the last call, at most one; 0 on the first call.
  double advance(Time now);
  // Moves the threshold so that congestion (see congestion_tracker.h) approaches its target.
  void update(double elapsed_s, double congestion);

  bool rejects(double cost_per_value) const {
    return threshold_ < highest_cost_per_value_ && cost_per_value > threshold_;
  }

 private:
  double threshold_ = 1e9;                // above every cost: rejects nothing
  double highest_cost_per_value_ = -1e9;  // of recent arrivals; initially below every cost
  Time updated_at_ = Time::min();
  double lowering_allowance_s_ = 0;  // time for which recent outcomes allow the threshold to fall
};

}  // namespace yokestream::policy
