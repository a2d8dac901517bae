// How much slower than at their best queries are: over all engines (congestion) and at each.
//
// All values are logarithms of time taken over unloaded time, or differences of such. Single outcomes say
// little, as told work scatters, so means of logarithms are compared with the best mean of the class.
#pragma once

#include <cstddef>
#include <vector>

#include "time_units.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

class CongestionTracker {
 public:
  struct EngineState {
    double log_slowdown = 0;  // mean, over the best of each class
    double outcomes = 0;      // counted into it, fading with age
    Time updated_at = Time::min();
  };

  explicit CongestionTracker(std::size_t classes) : classes_(classes) {}

  // A query was served; `slowdown`: time taken over unloaded time, as on a warm engine.
  void record_served(std::size_t class_index, double slowdown, EngineState& engine, Time now);
  void record_shed();            // an engine turned a query away
  void decay(double elapsed_s);  // without outcomes congestion fades

  // Mean logarithm of the slowdown over all engines; 0: all queries take the time of their best.
  double congestion() const { return congestion_; }
  // Slowdown at one engine, 1 or more where it is congested. A manager sees few outcomes of each engine: what
  // is missing is taken from all engines, by count and age.
  double engine_slowdown(const EngineState& engine, Time now) const;
  // Factor by which the class usually exceeds its unloaded time now.
  double usual_slowdown(std::size_t class_index) const;
  // Factor by which so many mean deviations exceed the mean.
  double deviation_factor(std::size_t class_index, double deviations) const;

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double outcomes = 0;
    double mean_log_slowdown = 0;
    double deviation = 1;  // mean, from the mean
    double best = 0;       // lowest mean, following a worse one slowly
  };
  double recent_outcomes(const EngineState& engine, Time now) const;
  void update_class(ClassState& state, double log_slowdown) const;

  std::vector<ClassState> classes_;
  double congestion_ = 0;
};

}  // namespace yokestream::policy
