// Predicts how long a query takes at an engine, and learns from how long queries took.
//
// The model: time = unloaded time x (bias of the class + sum over classes of interference(class, other) x
// running queries of other) / warm fraction. Biases are shared by all engines; interference is kept for each
// engine, beginning with that of its kind. Errors are in unloaded times.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

// Interference of a class that meets this mix of running queries.
double interference_of(const InterferenceWeights& weights, std::size_t class_index,
                       const std::vector<double>& running);

class LatencyEstimator {
 public:
  struct EngineState {
    InterferenceWeights interference;
    std::vector<double> mean_error;  // by class, absolute
  };
  // One query that was served.
  struct Observation {
    std::size_t class_index = 0;
    const std::vector<double>& running_mix;  // itself included
    double slowdown = 1;                     // time taken over unloaded time, as on a warm engine
    std::optional<std::size_t> kind;         // of its engine, where the settings name it
  };

  LatencyEstimator(std::size_t classes, std::size_t kinds);

  EngineState new_engine(std::optional<std::size_t> kind) const;
  // Seconds, without what is waited for before it runs.
  double predict_s(std::size_t class_index, double unloaded_s, const EngineState& engine,
                   const std::vector<double>& running, double warm_fraction) const;
  double class_bias(std::size_t class_index) const { return classes_[class_index].bias; }
  void learn(const Observation& observation, EngineState& engine);

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double bias = 1;
    double mean_error = 1;  // absolute
  };

  std::vector<ClassState> classes_;
  std::vector<InterferenceWeights> kinds_;
};

}  // namespace yokestream::policy
