// Snapshot of the estimates that an AdmissionController has learned, for a controller that replaces it.
//
// Classes and kinds are in the order of the settings. Queries in flight are not part of the snapshot.
#pragma once

#include <optional>
#include <vector>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// [class][other class]: delay of a query of the class, as a multiple of its unloaded time, per running query
// of the other class.
using InterferenceWeights = std::vector<std::vector<double>>;

struct LearnedClass {
  double bias = 1;                    // actual / estimated unloaded time
  double mean_error = 1;              // mean absolute prediction error, in unloaded times
  double arrivals = 0;                // queries with a work estimate
  double mean_estimated_work_s = 0;   // of these, as estimated by the client
  double outcomes = 0;                // in the next two means
  double mean_log_slowdown = 0;       // mean of log(time taken / unloaded time)
  double log_slowdown_deviation = 1;  // mean absolute deviation from that mean
  double best_log_slowdown = 0;       // lowest mean; rises slowly while the mean is above it
  double cost_reports = 0;            // responses that reported the work
  double work_factor = 1;             // reported work / estimated work
  double memory_factor = 1;           // granted memory / estimated memory
  bool operator==(const LearnedClass&) const = default;
};
struct LearnedEngine {
  InterferenceWeights interference;
  std::vector<double> mean_error;  // by class: mean absolute prediction error, in unloaded times
  double log_slowdown = 0;         // mean of log(slowdown / best slowdown of the class)
  double recent_outcomes = 0;      // in that mean
  double failure_ratio = 0;        // moving average
  bool ejected = false;            // receives only recovery probes
  bool operator==(const LearnedEngine&) const = default;
};
struct LearnedPool {
  double observed_own_queries = 0;  // moving average over load reports
  double observed_all_queries = 0;  // the same for the queries of all managers
  double mean_work_s = 0;           // of all arriving queries
  // Queries that are not announced to peers: moving averages of their time, work and memory x time, and the
  // mean use of a running query that follows from these.
  double unannounced_time_s = 0;
  double unannounced_work_s = 0;
  double unannounced_memory_mb_s = 0;
  double mean_unannounced_threads = 1;
  double mean_unannounced_memory_mb = 0;
  double mean_value_per_work_second = 0;  // priority weight per second of arriving work
  bool operator==(const LearnedPool&) const = default;
};
struct LearnedState {
  struct Engine {
    EngineId id;
    std::optional<Time> start_time;  // its last start, if known
    LearnedEngine learned;
    bool operator==(const Engine&) const = default;
  };
  LearnedPool pool;
  std::vector<LearnedClass> classes;
  std::vector<InterferenceWeights> kinds;
  std::vector<Engine> engines;
  bool operator==(const LearnedState&) const = default;
};

}  // namespace yokestream::policy
