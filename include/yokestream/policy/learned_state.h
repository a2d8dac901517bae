// What an AdmissionController has learned, as a value: for another one that takes over from it.
//
// Classes and kinds by position, as the settings name them. Nothing of what runs is in it.
#pragma once

#include <optional>
#include <vector>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// By class and class: unloaded times by which one running query of the second delays one of the first.
using InterferenceWeights = std::vector<std::vector<double>>;

struct LearnedClass {
  double bias = 1;                    // unloaded over estimated time
  double mean_error = 1;              // of predictions, absolute, in unloaded times
  double arrivals = 0;                // queries that told their work
  double mean_estimated_work_s = 0;   // of these, as told
  double outcomes = 0;                // counted into the next two
  double mean_log_slowdown = 0;       // logarithm of time taken over unloaded time
  double log_slowdown_deviation = 1;  // mean, from it
  double best_log_slowdown = 0;       // the lowest mean, following a worse one slowly
  double cost_reports = 0;            // responses that reported the work
  double work_factor = 1;             // reported over estimated work
  double memory_factor = 1;           // granted over estimated memory
  bool operator==(const LearnedClass&) const = default;
};
struct LearnedEngine {
  InterferenceWeights interference;
  std::vector<double> mean_error;  // of predictions by class, absolute, in unloaded times
  double log_slowdown = 0;         // mean logarithm of time taken over the class's best
  double recent_outcomes = 0;      // counted into it
  double failure_ratio = 0;        // of outcomes, smoothed
  bool ejected = false;            // gets nothing but recovery probes
  bool operator==(const LearnedEngine&) const = default;
};
struct LearnedPool {
  double observed_own_queries = 0;  // smoothed, on the engines that report
  double observed_all_queries = 0;  // the same, of all managers
  double mean_work_s = 0;           // of all that arrives
  // Of queries that are not announced to peers, smoothed: their time, work and memory x time, and from these
  // what one that runs uses in the mean.
  double unannounced_time_s = 0;
  double unannounced_work_s = 0;
  double unannounced_memory_mb_s = 0;
  double mean_unannounced_threads = 1;
  double mean_unannounced_memory_mb = 0;
  double mean_value_per_work_second = 0;  // priority weight a second of work, as it arrives
  bool operator==(const LearnedPool&) const = default;
};
struct LearnedState {
  struct Engine {
    EngineId id;
    std::optional<Time> start_time;  // its last start, if told
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
