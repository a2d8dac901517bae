// What an AdmissionController has learnt, as a value: for another one that takes over from it (admission.h).
//
// Plain numbers in the controller's own units: times as multiples of a query's unloaded time, works in
// seconds. By position: classes and kinds as the settings name them, weights by class and class. Nothing of
// what runs is in it. No thread rules: a value.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

using InterferenceWeights =
    std::vector<std::vector<double>>;  // c(i,j): what one running query of j costs one of i

struct LearnedClass {
  double bias = 1;        // unloaded time over told time
  double mean_error = 1;  // mean absolute error of the estimate, in unloaded times
  double arrivals = 0,
         mean_estimated_work_s = 0;            // queries that told their work; its mean in seconds, as told
  double outcomes = 0, mean_log_slowdown = 0;  // mean logarithm of time taken over unloaded time
  double log_slowdown_deviation = 1;           // mean deviation from it
  double best_log_slowdown = 0;                // its best, followed upwards slowly
  double cost_reports = 0, work_factor = 1;    // answers that told the work; it over told work
  double memory_factor = 1;                    // granted over told memory
  bool operator==(const LearnedClass&) const = default;
};
struct LearnedEngine {
  InterferenceWeights interference;
  std::vector<double> mean_error;  // mean absolute error of the estimate per class, in unloaded times
  double log_slowdown = 0;         // mean logarithm of time taken over the class's best
  double recent_outcomes = 0;      // recent outcomes in it
  double failure_ratio = 0;        // share of outcomes that failed, smoothed
  bool ejected = false;            // gets nothing but trials
  bool operator==(const LearnedEngine&) const = default;
};
struct LearnedPool {
  double observed_own_queries = 0,
         observed_all_queries = 0;  // smoothed: own queries, and all, on the engines that report
  double mean_work_s = 0;           // of all that arrives, seconds
  double unannounced_time_s = 0, unannounced_work_s = 0,
         unannounced_memory_mb_s = 0;                                   // smoothed, of what is not told of
  double mean_unannounced_threads = 1, mean_unannounced_memory_mb = 0;  // of such a query that runs
  double mean_value_per_work_second = 0;  // worth per second of work, as it arrives
  bool operator==(const LearnedPool&) const = default;
};
struct LearnedState {
  LearnedPool pool;
  std::vector<LearnedClass> classes;
  std::vector<InterferenceWeights> kinds;
  struct Engine {
    EngineId id;
    std::optional<Time> start_time;  // its last start, if told
    LearnedEngine learned;
    bool operator==(const Engine&) const = default;
  };
  std::vector<Engine> engines;
  bool operator==(const LearnedState&) const = default;
};

}  // namespace yokestream::policy
