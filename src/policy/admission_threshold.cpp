#include "admission_threshold.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

// Target of the congestion: logarithm of the slowdown relative to the best.
constexpr double kTargetLogSlowdown = 0.3;
// Change of the threshold per second and per unit of congestion off the target.
constexpr double kThresholdRatePerSecond = 3.0;
// Rate at which the highest cost seen is forgotten.
constexpr double kHighestCostDecayPerSecond = 0.01;
// Queries that are cheaper than the highest cost by more than this are always admitted.
constexpr double kMaxDepthBelowHighestCost = 3;
// Time for which one outcome allows the threshold to fall, and the maximum over all outcomes.
constexpr double kLoweringSecondsPerOutcome = 0.05;
constexpr double kMaxLoweringSeconds = 1.0;
constexpr double kMaxElapsedSeconds = 1.0;

}  // namespace

// Until it is first lowered, the threshold follows the highest cost seen and rejects nothing.
void AdmissionThreshold::record_arrival(double cost_per_value) {
  if (cost_per_value > highest_cost_per_value_ && threshold_ >= highest_cost_per_value_)
    threshold_ = cost_per_value;
  highest_cost_per_value_ = std::max(highest_cost_per_value_, cost_per_value);
}

void AdmissionThreshold::record_outcome() {
  lowering_allowance_s_ = std::min(kMaxLoweringSeconds, lowering_allowance_s_ + kLoweringSecondsPerOutcome);
}

double AdmissionThreshold::advance(Time now) {
  const double elapsed_s =
      updated_at_ == Time::min() ? 0 : std::min(kMaxElapsedSeconds, to_seconds(now - updated_at_));
  updated_at_ = now;
  highest_cost_per_value_ -= kHighestCostDecayPerSecond * elapsed_s;
  return elapsed_s;
}

// Failure: one of many managers sees few outcomes, and the threshold keeps falling on an outdated congestion
// value. Symptom: all managers reject queries because of a few responses from seconds ago. Guard: each
// outcome allows the threshold to fall only for a limited time.
void AdmissionThreshold::update(double elapsed_s, double congestion) {
  const double over_target = congestion - kTargetLogSlowdown;
  const bool lowers = over_target > 0;
  const double counted_s = lowers ? std::min(elapsed_s, lowering_allowance_s_) : elapsed_s;
  lowering_allowance_s_ = lowers ? lowering_allowance_s_ - counted_s : 0;
  threshold_ = std::clamp(threshold_ - kThresholdRatePerSecond * over_target * counted_s,
                          highest_cost_per_value_ - kMaxDepthBelowHighestCost, highest_cost_per_value_);
}

}  // namespace yokestream::policy
