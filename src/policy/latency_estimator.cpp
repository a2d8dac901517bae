#include "latency_estimator.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Fractions of an error that one outcome corrects (normalized LMS); smaller for a bias, which all engines
// share.
constexpr double kInterferenceLearningRate = 0.15;
constexpr double kBiasLearningRate = 0.05;
constexpr double kMeanErrorWeight = 0.05;      // weight of one outcome in the mean errors
constexpr double kMaxErrorInMeanErrors = 3.0;  // a larger error counts as this many mean errors
constexpr double kMinBias = 0.1;

InterferenceWeights zero_weights(std::size_t classes) {
  return InterferenceWeights(classes, std::vector<double>(classes, 0.0));
}

double squared_norm(const std::vector<double>& running) {
  double sum = 1;
  for (const double count : running) sum += count * count;
  return sum;
}

// One step of normalized LMS; weights stay non-negative.
void correct(InterferenceWeights& weights, std::size_t class_index, const std::vector<double>& running,
             double correction) {
  const double norm = squared_norm(running);
  for (std::size_t j = 0; j < running.size(); ++j)
    weights[class_index][j] = std::max(0.0, weights[class_index][j] + correction * running[j] / norm);
}

}  // namespace

double interference_of(const InterferenceWeights& weights, std::size_t class_index,
                       const std::vector<double>& running) {
  double sum = 0;
  for (std::size_t j = 0; j < running.size(); ++j) sum += weights[class_index][j] * running[j];
  return sum;
}

LatencyEstimator::LatencyEstimator(std::size_t classes, std::size_t kinds)
    : classes_(classes), kinds_(kinds, zero_weights(classes)) {}

LatencyEstimator::EngineState LatencyEstimator::new_engine(std::optional<std::size_t> kind) const {
  return {kind ? kinds_[*kind] : zero_weights(classes_.size()), std::vector<double>(classes_.size(), 1.0)};
}

double LatencyEstimator::predict_s(std::size_t class_index, double unloaded_s, const EngineState& engine,
                                   const std::vector<double>& running, double warm_fraction) const {
  const double with_others = interference_of(engine.interference, class_index, running);
  const double mix = with_others + engine.interference[class_index][class_index];
  return unloaded_s * (classes_[class_index].bias + mix) / warm_fraction;
}

// Failure: a query that takes thirty times its predicted time raises the estimates of many later ones.
// Symptom: after one bad plan, queries of the class are rejected everywhere. Guard: an error counts as at
// most kMaxErrorInMeanErrors mean errors, and a positive one also as at most the predicted time.
void LatencyEstimator::learn(const Observation& observation, EngineState& engine) {
  const std::size_t class_index = observation.class_index;
  const auto& mix = observation.running_mix;
  ClassState& state = classes_[class_index];
  const double raw_error =
      observation.slowdown - state.bias - interference_of(engine.interference, class_index, mix);
  const double predicted = std::max(1.0, observation.slowdown - raw_error);
  const double max_error = std::min(kMaxErrorInMeanErrors * state.mean_error, predicted);
  const double error = std::clamp(raw_error, -kMaxErrorInMeanErrors * state.mean_error, max_error);
  state.mean_error += kMeanErrorWeight * (std::abs(error) - state.mean_error);
  engine.mean_error[class_index] += kMeanErrorWeight * (std::abs(error) - engine.mean_error[class_index]);
  state.bias = std::max(kMinBias, state.bias + kBiasLearningRate * error / std::sqrt(squared_norm(mix)));
  correct(engine.interference, class_index, mix, kInterferenceLearningRate * error);
  if (!observation.kind) return;
  InterferenceWeights& kind = kinds_[*observation.kind];
  const double kind_error = observation.slowdown - state.bias - interference_of(kind, class_index, mix);
  const double bound = kMaxErrorInMeanErrors * state.mean_error;
  correct(kind, class_index, mix, kInterferenceLearningRate * std::clamp(kind_error, -bound, bound));
}

void LatencyEstimator::save(LearnedState& state) const {
  state.kinds = kinds_;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    state.classes[i].bias = classes_[i].bias;
    state.classes[i].mean_error = classes_[i].mean_error;
  }
}

void LatencyEstimator::restore(const LearnedState& state) {
  kinds_ = state.kinds;
  for (std::size_t i = 0; i < classes_.size(); ++i)
    classes_[i] = {state.classes[i].bias, state.classes[i].mean_error};
}

}  // namespace yokestream::policy
