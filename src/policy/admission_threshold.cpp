#include "admission_threshold.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kCongestionTarget = 0.3;  // logarithm of the slowdown over the best
constexpr double kRatePerSecond = 3.0;     // change of the threshold, a second and unit of congestion
constexpr double kHighestCostFadePerSecond = 0.01;  // by which the highest cost seen is forgotten
constexpr double kMaxDepth = 3;  // under the highest cost; cheaper queries are always admitted
constexpr double kTimePerOutcomeSeconds = 0.05;  // of lowering that one outcome allows
constexpr double kMaxObservedTimeSeconds = 1.0;
constexpr double kMaxElapsedSeconds = 1.0;

}  // namespace

// It starts at the highest cost seen, rejecting nothing.
void AdmissionThreshold::record_arrival(double cost_per_value) {
  if (cost_per_value > highest_cost_per_value_ && threshold_ >= highest_cost_per_value_)
    threshold_ = cost_per_value;
  highest_cost_per_value_ = std::max(highest_cost_per_value_, cost_per_value);
}

void AdmissionThreshold::record_outcome() {
  observed_time_s_ = std::min(kMaxObservedTimeSeconds, observed_time_s_ + kTimePerOutcomeSeconds);
}

double AdmissionThreshold::advance(Time now) {
  const double elapsed_s =
      updated_at_ == Time::min() ? 0 : std::min(kMaxElapsedSeconds, to_seconds(now - updated_at_));
  updated_at_ = now;
  highest_cost_per_value_ -= kHighestCostFadePerSecond * elapsed_s;
  return elapsed_s;
}

// Failure: one manager of many sees few outcomes, and its congestion is old news while the threshold goes on
// falling. Symptom: all managers reject for what a few answers said seconds ago. Guard: it is lowered only
// for as long as outcomes speak for.
void AdmissionThreshold::update(double elapsed_s, double congestion) {
  const double over_target = congestion - kCongestionTarget;
  const bool lowers = over_target > 0;
  const double counted_s = lowers ? std::min(elapsed_s, observed_time_s_) : elapsed_s;
  observed_time_s_ = lowers ? observed_time_s_ - counted_s : 0;
  threshold_ = std::clamp(threshold_ - kRatePerSecond * over_target * counted_s,
                          highest_cost_per_value_ - kMaxDepth, highest_cost_per_value_);
}

}  // namespace yokestream::policy
