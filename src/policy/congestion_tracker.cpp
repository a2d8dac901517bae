#include "congestion_tracker.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Weights of one outcome in the moving averages; minimums for the means of classes and engines.
constexpr double kMinClassMeanWeight = 0.03;
constexpr double kMinEngineMeanWeight = 0.1;
constexpr double kCongestionWeight = 0.08;
constexpr double kBestRiseWeight = 0.002;  // by which the best value of a class rises toward a worse mean
constexpr double kMaxLogSlowdown = 2.0;    // limits the effect of a single outcome
// Number of recent outcomes at which an engine's own mean has the same weight as the mean over all engines.
constexpr double kOutcomesForHalfWeight = 6;
// Time constants of the exponential decay.
constexpr double kOutcomeDecaySeconds = 10;
constexpr double kCongestionDecaySeconds = 8;
constexpr double kMinSlowdown = 1e-3;

}  // namespace

void CongestionTracker::update_class(ClassState& state, double log_slowdown) const {
  ++state.outcomes;
  state.mean_log_slowdown +=
      std::max(kMinClassMeanWeight, 1 / state.outcomes) * (log_slowdown - state.mean_log_slowdown);
  const double deviation = std::abs(log_slowdown - state.mean_log_slowdown);
  state.deviation += std::max(kMinClassMeanWeight, 1 / (state.outcomes + 1)) * (deviation - state.deviation);
  if (state.outcomes <= 1 / kMinClassMeanWeight || state.mean_log_slowdown < state.best)
    state.best = state.mean_log_slowdown;
  else
    state.best += kBestRiseWeight * (state.mean_log_slowdown - state.best);
}

void CongestionTracker::record_served(std::size_t class_index, double slowdown, EngineState& engine,
                                      Time now) {
  const double log_slowdown = std::log(std::max(kMinSlowdown, slowdown));
  ClassState& state = classes_[class_index];
  update_class(state, log_slowdown);
  const double relative_to_best = std::min(log_slowdown - state.best, kMaxLogSlowdown);
  congestion_ += kCongestionWeight * (relative_to_best - congestion_);
  engine.outcomes = recent_outcomes(engine, now) + 1;
  engine.updated_at = now;
  engine.log_slowdown +=
      std::max(kMinEngineMeanWeight, 1 / engine.outcomes) * (relative_to_best - engine.log_slowdown);
}

void CongestionTracker::record_shed() { congestion_ += kCongestionWeight * (kMaxLogSlowdown - congestion_); }

void CongestionTracker::decay(double elapsed_s) {
  congestion_ *= std::exp(-elapsed_s / kCongestionDecaySeconds);
}

double CongestionTracker::recent_outcomes(const EngineState& engine, Time now) const {
  if (engine.outcomes <= 0) return 0;
  return engine.outcomes * std::exp(-to_seconds(now - engine.updated_at) / kOutcomeDecaySeconds);
}

double CongestionTracker::engine_slowdown(const EngineState& engine, Time now) const {
  const double recent = recent_outcomes(engine, now);
  const double own_weight = recent / (recent + kOutcomesForHalfWeight);
  return std::exp(own_weight * engine.log_slowdown + (1 - own_weight) * congestion_);
}

double CongestionTracker::usual_slowdown(std::size_t class_index) const {
  return std::exp(classes_[class_index].best + std::max(0.0, congestion_));
}

double CongestionTracker::deviation_factor(std::size_t class_index, double deviations) const {
  return std::exp(deviations * classes_[class_index].deviation);
}

void CongestionTracker::save(LearnedState& state) const {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    LearnedClass& learned = state.classes[i];
    learned.outcomes = classes_[i].outcomes;
    learned.mean_log_slowdown = classes_[i].mean_log_slowdown;
    learned.log_slowdown_deviation = classes_[i].deviation;
    learned.best_log_slowdown = classes_[i].best;
  }
}

void CongestionTracker::restore(const LearnedState& state) {
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const LearnedClass& learned = state.classes[i];
    classes_[i] = {learned.outcomes, learned.mean_log_slowdown, learned.log_slowdown_deviation,
                   learned.best_log_slowdown};
  }
}

}  // namespace yokestream::policy
