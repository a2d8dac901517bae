// Tracks how much slower queries are than at their best: over all engines (congestion) and on each engine.
//
// All values are logarithms of time taken / unloaded time, or differences of such logarithms. Work estimates
// are noisy, so a single outcome means little: means of logarithms are compared with the best mean of the
// class.
#pragma once

#include <cstddef>
#include <vector>

#include "time_units.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

class CongestionTracker {
 public:
  struct EngineState {
    double log_slowdown = 0;  // mean, relative to the best of each class
    double outcomes = 0;      // in that mean, decaying with age
    Time updated_at = Time::min();
  };

  explicit CongestionTracker(std::size_t classes) : classes_(classes) {}

  // `slowdown`: time taken / unloaded time, converted to a warm engine.
  void record_served(std::size_t class_index, double slowdown, EngineState& engine, Time now);
  void record_shed();
  // Lets the congestion decay with time.
  void decay(double elapsed_s);

  // Mean logarithm of the slowdown over all engines; 0: all queries run at their best speed.
  double congestion() const { return congestion_; }
  // Slowdown of one engine, above 1 where it is congested. A manager sees few outcomes of each engine, so the
  // mean over all engines replaces them according to their number and age.
  double engine_slowdown(const EngineState& engine, Time now) const;
  // Factor by which a query of the class currently exceeds its unloaded time in the mean.
  double usual_slowdown(std::size_t class_index) const;
  // Factor that corresponds to this many mean absolute deviations of the class's log slowdown.
  double deviation_factor(std::size_t class_index, double deviations) const;

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double outcomes = 0;
    double mean_log_slowdown = 0;
    double deviation = 1;  // mean absolute deviation from the mean
    double best = 0;       // lowest mean; rises slowly while the mean is above it
  };
  double recent_outcomes(const EngineState& engine, Time now) const;
  void update_class(ClassState& state, double log_slowdown) const;

  std::vector<ClassState> classes_;
  double congestion_ = 0;
};

}  // namespace yokestream::policy
