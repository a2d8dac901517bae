// What arrives: the work of queries by class, how told estimates compare with what engines report, and means
// over all that arrives.
//
// Owns the statistics and nothing else; the settings must outlive it. Work is in seconds of one thread.
#pragma once

#include <optional>
#include <vector>

#include "query.h"
#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

class WorkloadStatistics {
 public:
  // Of queries that are not announced to the peers: what one that runs uses in the mean.
  struct UnannouncedMean {
    double threads = 1;
    double memory_mb = 0;
  };

  explicit WorkloadStatistics(const Settings& settings);

  // Work of a query that has just arrived, counting it in. `class_bias`: the latency estimator's.
  double observe_work(const QueryArrived& request, double class_bias);
  // By when a response has its full weight. Counts in how much patience its class usually has left.
  Time observe_objective(const QueryArrived& request, double work_s, Time now);
  // Counts the query into the means; `unannounced`: peers are not told of it.
  void observe_means(const Query& query, bool unannounced);
  void observe_mean_work(double work_s);

  // A response told the work that the query took.
  void observe_reported_work(std::size_t class_index, Duration estimated, Duration reported);
  void observe_sufficient_memory(std::size_t class_index);  // a query ended without spilling
  void observe_spill(std::size_t class_index);              // one got too little memory

  // Work of a query of this class of which none was told. `class_bias`: the latency estimator's.
  double usual_work_s(std::size_t class_index, double class_bias) const;
  double memory_factor(std::size_t class_index) const { return classes_[class_index].memory_factor; }
  double mean_work_s() const { return mean_work_s_; }
  const UnannouncedMean& unannounced() const { return unannounced_mean_; }
  // Priority weight for each second of work; as a ratio of the mean of what arrives.
  double value_per_work_second(const Query& query) const;
  double relative_value(const Query& query) const;
  // Logarithm of the seconds of work that the query costs for each unit of its weight.
  double cost_per_value(const Query& query) const;

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double arrivals = 0;  // that told their work
    double mean_estimated_work_s = 0;
    double cost_reports = 0;
    double work_factor = 1;    // reported over told work
    double memory_factor = 1;  // granted over told memory
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
