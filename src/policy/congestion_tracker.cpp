#include "congestion_tracker.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kClassStep = 0.03;          // weight of one outcome in a class's mean
constexpr double kBestFollowStep = 0.002;    // by which the best follows a worse mean, an outcome
constexpr double kEngineStep = 0.1;          // least weight of one outcome in an engine's mean
constexpr double kCongestionStep = 0.08;     // weight of one outcome in the congestion
constexpr double kMaxLogSlowdown = 2.0;      // no outcome counts for more
constexpr double kHalfTrustOutcomes = 6;     // recent outcomes at which an engine's own mean counts half
constexpr double kOutcomesFadeSeconds = 10;  // after which recent outcomes count a third
constexpr double kCongestionFadeSeconds =
    8;  // without outcomes, after which a third of the congestion is left
constexpr double kLeastSlowdown = 1e-3;

}  // namespace

void CongestionTracker::update_class(ClassState& state, double log_slowdown) const {
  ++state.outcomes;
  state.mean_log_slowdown +=
      std::max(kClassStep, 1 / state.outcomes) * (log_slowdown - state.mean_log_slowdown);
  const double deviation = std::abs(log_slowdown - state.mean_log_slowdown);
  state.deviation += std::max(kClassStep, 1 / (state.outcomes + 1)) * (deviation - state.deviation);
  if (state.outcomes <= 1 / kClassStep || state.mean_log_slowdown < state.best)
    state.best = state.mean_log_slowdown;
  else
    state.best += kBestFollowStep * (state.mean_log_slowdown - state.best);
}

void CongestionTracker::record_served(std::size_t class_index, double slowdown, EngineState& engine,
                                      Time now) {
  const double log_slowdown = std::log(std::max(kLeastSlowdown, slowdown));
  ClassState& state = classes_[class_index];
  update_class(state, log_slowdown);
  const double over_best = std::min(log_slowdown - state.best, kMaxLogSlowdown);
  congestion_ += kCongestionStep * (over_best - congestion_);
  engine.outcomes = recent_outcomes(engine, now) + 1;
  engine.updated_at = now;
  engine.log_slowdown += std::max(kEngineStep, 1 / engine.outcomes) * (over_best - engine.log_slowdown);
}

void CongestionTracker::record_shed() { congestion_ += kCongestionStep * (kMaxLogSlowdown - congestion_); }

void CongestionTracker::decay(double elapsed_s) {
  congestion_ *= std::exp(-elapsed_s / kCongestionFadeSeconds);
}

double CongestionTracker::recent_outcomes(const EngineState& engine, Time now) const {
  if (engine.outcomes <= 0) return 0;
  return engine.outcomes * std::exp(-to_seconds(now - engine.updated_at) / kOutcomesFadeSeconds);
}

double CongestionTracker::engine_slowdown(const EngineState& engine, Time now) const {
  const double recent = recent_outcomes(engine, now);
  const double own_weight = recent / (recent + kHalfTrustOutcomes);
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
