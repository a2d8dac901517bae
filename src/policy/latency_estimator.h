// Predicts how long a query takes on an engine, and learns from the times of served queries.
//
// Model: time = unloaded time x (bias(class) + sum over other of interference(class, other) x running queries
// of other) / warm fraction. Biases are shared by all engines. Each engine has its own interference weights,
// which start with those of its kind. Errors are in multiples of the unloaded time.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "yokestream/policy/learned_state.h"

namespace yokestream::policy {

// Delay of a query of the class by this mix of running queries, in multiples of its unloaded time.
double interference_of(const InterferenceWeights& weights, std::size_t class_index,
                       const std::vector<double>& running);

class LatencyEstimator {
 public:
  struct EngineState {
    InterferenceWeights interference;
    std::vector<double> mean_error;  // by class: mean absolute error
  };
  // A query that was served.
  struct Observation {
    std::size_t class_index = 0;
    const std::vector<double>& running_mix;  // running queries by class, including itself
    double slowdown = 1;                     // time taken / unloaded time, converted to a warm engine
    std::optional<std::size_t> kind;         // of its engine; nullopt: not in the settings
  };

  LatencyEstimator(std::size_t classes, std::size_t kinds);

  EngineState new_engine(std::optional<std::size_t> kind) const;
  // Predicted running time in seconds, without any wait before the query starts.
  double predict_s(std::size_t class_index, double unloaded_s, const EngineState& engine,
                   const std::vector<double>& running, double warm_fraction) const;
  double class_bias(std::size_t class_index) const { return classes_[class_index].bias; }
  void learn(const Observation& observation, EngineState& engine);

  void save(LearnedState& state) const;
  void restore(const LearnedState& state);

 private:
  struct ClassState {
    double bias = 1;
    double mean_error = 1;  // mean absolute error
  };

  std::vector<ClassState> classes_;
  std::vector<InterferenceWeights> kinds_;
};

}  // namespace yokestream::policy
