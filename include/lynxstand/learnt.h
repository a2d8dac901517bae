// What an AdmissionController has learnt, as a value: for another one that takes over from it (admission.h).
//
// Plain numbers in the controller's own units: times as multiples of a query's unloaded time, works in
// seconds. By position: classes and kinds as the settings name them, weights by class and class. Nothing of
// what runs is in it. No thread rules: a value.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lynxstand/settings.h"

namespace lynxstand {

using Weights = std::vector<std::vector<double>>;  // c(i,j): what one running query of j costs one of i

struct LearntClass {
  double bias = 1;                     // unloaded time over told time
  double mean_error = 1;               // mean absolute error of the estimate, in unloaded times
  double arrived = 0, mean_told = 0;   // queries that told their work; its mean in seconds, as told
  double outcomes = 0, level = 0;      // mean logarithm of time taken over unloaded time
  double spread = 1;                   // mean deviation from it
  double best = 0;                     // its best, followed upwards slowly
  double billed = 0, work_factor = 1;  // answers that told the work; it over told work
  double memory_factor = 1;            // granted over told memory
  bool operator==(const LearntClass&) const = default;
};
struct LearntEngine {
  Weights weights;
  std::vector<double> error;  // mean absolute error of the estimate per class, in unloaded times
  double slow = 0;            // mean logarithm of time taken over the class's best
  double slow_count = 0;      // recent outcomes in it
  double failing = 0;         // share of outcomes that failed, smoothed
  bool shunned = false;       // gets nothing but trials
  bool operator==(const LearntEngine&) const = default;
};
struct LearntPool {
  double own_seen = 0, all_seen = 0;  // smoothed: own queries, and all, on the engines that report
  double mean_work = 0;               // of all that arrives, seconds
  double light_time = 0, light_threads = 0, light_memory = 0;  // smoothed, of what is not told of
  double mean_threads = 1, mean_memory = 0;                    // of such a query that runs
  double mean_density = 0;                                     // worth per second of work, as it arrives
  bool operator==(const LearntPool&) const = default;
};
struct Learnt {
  LearntPool pool;
  std::vector<LearntClass> classes;
  std::vector<Weights> kinds;
  struct Engine {
    EngineId id;
    std::optional<Time> started;  // its last start, if told
    LearntEngine learnt;
    bool operator==(const Engine&) const = default;
  };
  std::vector<Engine> engines;
  bool operator==(const Learnt&) const = default;
};

}  // namespace lynxstand
