// The admission threshold: the highest cost for its value at which a query is admitted.
//
// Failure: more work is asked for than the engines can do, for long, and no bound on own threads tells which
// queries to reject. Symptom: all queries wait, and most are late. Guard: a threshold on the seconds of work
// for a unit of priority weight, lowered while engines are congested beyond the target, rejects the costliest
// for their value first. Costs are logarithms of seconds of work a unit of weight.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class AdmissionThreshold {
 public:
  void record_arrival(double cost_per_value);
  void record_outcome();
  // Seconds since the last call, one at most; 0 at the first.
  double advance(Time now);
  // Moves the threshold towards the target of congestion (see congestion_tracker.h).
  void update(double elapsed_s, double congestion);

  bool rejects(double cost_per_value) const {
    return threshold_ < highest_cost_per_value_ && cost_per_value > threshold_;
  }

 private:
  double threshold_ = 1e9;
  double highest_cost_per_value_ = -1e9;  // that was asked lately
  Time updated_at_ = Time::min();
  double observed_time_s_ = 0;  // seconds of lowering that outcomes speak for
};

}  // namespace yokestream::policy
