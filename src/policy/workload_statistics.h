// Statistics of the arriving queries: work by class, the accuracy of work and memory estimates, and means
// over all arrivals.
//
// The settings must outlive this. Work is in seconds on a single thread.
#pragma once

#include <optional>
#include <vector>

#include "query.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

class WorkloadStatistics {
 public:
  // Mean use of a running query that is not announced to the peers.
  struct UnannouncedMean {
    double threads = 1;
    double memory_mb = 0;
  };

  explicit WorkloadStatistics(const Settings& settings);

  // Records an arriving query and returns its work. `class_bias`: from the latency estimator.
  double observe_work(const QueryArrived& request, double class_bias);
  // Records the query's time left, and returns the time until which a response earns the full weight.
  Time observe_objective(const QueryArrived& request, double work_s, Time now);
  // Adds the query to the means over all arrivals. `unannounced`: the query is not announced to the peers.
  void observe_means(const Query& query, bool unannounced);
  void observe_mean_work(double work_s);

  // Corrects the class's work estimates by the work that a response reported.
  void observe_reported_work(std::size_t class_index, Duration estimated, Duration reported);
  void observe_sufficient_memory(std::size_t class_index);  // a query ended without spilling
  void observe_spill(std::size_t class_index);  // a query spilled because its memory grant was too small

  // Work of a query of this class that has no work estimate. `class_bias`: from the latency estimator.
  double usual_work_s(std::size_t class_index, double class_bias) const;
  double memory_factor(std::size_t class_index) const { return classes_[class_index].memory_factor; }
  double mean_work_s() const { return mean_work_s_; }
  const UnannouncedMean& unannounced() const { return unannounced_mean_; }
  // Priority weight per second of work.
  double value_per_work_second(const Query& query) const;
  // The same, relative to the mean over all arrivals.
  double relative_value(const Query& query) const;
  // Logarithm of the seconds of work per unit of the query's weight.
  double cost_per_value(const Query& query) const;

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double arrivals = 0;  // with a work estimate
    double mean_estimated_work_s = 0;
    double cost_reports = 0;
    double work_factor = 1;    // reported work / estimated work
    double memory_factor = 1;  // granted memory / estimated memory
    Duration usual_time_left{};
    int usual_time_left_votes = 0;
  };
  const ClassSettings& settings_of(const Query& query) const {
    return settings_.classes[index_of(query.request.query_class)];
  }
  void observe_time_left(const QueryArrived& request);

  const Settings& settings_;
  std::vector<ClassState> classes_;
  double mean_work_s_ = 0;
  double unannounced_time_s_ = 0;
  double unannounced_work_s_ = 0;
  double unannounced_memory_mb_s_ = 0;
  UnannouncedMean unannounced_mean_;
  double mean_value_per_work_second_ = 0;
};

}  // namespace yokestream::policy
