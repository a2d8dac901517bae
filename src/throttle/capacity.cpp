#include "throttle/capacity.h"

#include <algorithm>
#include <cmath>

#include "base/seconds.h"

namespace yokestream::throttle {
namespace {

// A window closes when it is kMinWindow old and holds kMinWindowOutcomes, and at kMaxWindow in any case.
constexpr Duration kMinWindow = std::chrono::milliseconds(200);
constexpr Duration kMaxWindow = std::chrono::milliseconds(800);
constexpr int kMinWindowOutcomes = 6;
// A reduction needs this long to show in the latencies.
constexpr Duration kMinReductionInterval = std::chrono::milliseconds(400);
// Stretch over the best: above the first the limit is reduced, below the second it is raised.
constexpr double kReduceAboveStretch = 3.0;
constexpr double kRaiseBelowStretch = 2.2;
constexpr double kReduceFactor = 0.85, kRaiseFactor = 1.08;
constexpr double kMinThreadsPerCore = 1.25;
constexpr double kMaxLimitOverInitial = 1.15;
constexpr double kWindowWeight = 0.3;    // of one window in the moving averages
constexpr double kBestFallWeight = 0.2;  // of one outcome, where the best falls
constexpr double kBestRiseWeight = 0.0005;
constexpr double kMinStretch = 1e-2, kMaxStretch = 1e4;
constexpr double kRejectedLogStretch = 1.2;  // what a rejection by the decision module counts as
constexpr double kMaxLogStretch = 3;         // of one outcome
constexpr double kMinRatePerCore = 0.05;
constexpr double kMaxRatePerCore = 1.3;  // above 1: some cores are faster, and warm table groups save work
constexpr double kInitialRatePerCore = 0.85;  // before anything is learned
constexpr double kMinWeight = 1e-6;           // avoids division by zero

}  // namespace

Capacity::Capacity(std::size_t classes, double initial_threads_per_core)
    : initial_threads_per_core_(initial_threads_per_core),
      limit_(initial_threads_per_core),
      drain_rate_(kInitialRatePerCore),
      classes_(classes) {}

// The engine list reports changes seconds late, but reliably, so the limit follows it at once.
void Capacity::set_cores(double cores) {
  if (cores <= 0 || cores == cores_) return;
  limit_ *= cores / cores_;
  drain_rate_ *= cores / cores_;
  cores_ = cores;
}

double Capacity::stretch() const { return std::exp(log_stretch_); }

void Capacity::on_finished(Time now, std::size_t query_class, double stretch, double cost, bool has_queued) {
  window_cost_ += cost;
  if (stretch > 0 && query_class < classes_.size()) {
    ClassBaseline& baseline = classes_[query_class];
    const double level = std::log(std::clamp(stretch, kMinStretch, kMaxStretch));
    double& best = baseline.best_log_stretch;
    if (!baseline.seen || level < best)
      best = baseline.seen ? best + kBestFallWeight * (level - best) : level, baseline.seen = true;
    else
      best += kBestRiseWeight * (level - best);
    window_log_stretch_ += cost * std::clamp(level - best, 0.0, kMaxLogStretch);
    window_weight_ += cost;
    ++window_count_;
  }
  tick(now, has_queued);
}

void Capacity::on_request_finished(Time now, std::size_t query_class, double threads, double estimated_cost,
                                   const Outcome& outcome, bool has_queued) {
  if (outcome.rejected_by_policy) return on_rejected(now, estimated_cost, has_queued);
  if (!outcome.served()) return on_finished(now, query_class, 0, 0, has_queued);
  const double cost = outcome.actual_cost_s(estimated_cost);
  const double stretch = seconds_of(outcome.latency) * threads / std::max(cost, kMinWeight);
  on_finished(now, query_class, stretch, cost, has_queued);
}

void Capacity::on_rejected(Time now, double cost, bool has_queued) {
  window_log_stretch_ += cost * kRejectedLogStretch;
  window_weight_ += cost;
  ++window_count_;
  tick(now, has_queued);
}

void Capacity::tick(Time now, bool has_queued) {
  if (window_start_ == Time{}) window_start_ = now;
  const Duration length = now - window_start_;
  if (length >= kMaxWindow || (length >= kMinWindow && window_count_ >= kMinWindowOutcomes))
    close_window(now, has_queued);
}

void Capacity::close_window(Time now, bool has_queued) {
  const double seconds = seconds_of(now - window_start_);
  const double rate = window_cost_ / seconds;
  // Without queued requests the finished work shows only the demand, not what the engines could do. Then the
  // rate is only raised, and with a smaller weight.
  if (has_queued)
    drain_rate_ += (drain_rate_learned_ ? kWindowWeight : 1) * (rate - drain_rate_),
        drain_rate_learned_ = true;
  else
    drain_rate_ += std::max(0.0, kWindowWeight * kWindowWeight * (rate - drain_rate_));
  drain_rate_ = std::clamp(drain_rate_, kMinRatePerCore * cores_, kMaxRatePerCore * cores_);
  if (window_count_ > 0)
    log_stretch_ +=
        kWindowWeight * (window_log_stretch_ / std::max(kMinWeight, window_weight_) - log_stretch_);
  // Requests are queued, but none finished in the whole window: counts as congestion.
  if (window_count_ == 0 && has_queued) log_stretch_ = std::min(kMaxLogStretch, log_stretch_ + kWindowWeight);
  if (log_stretch_ > std::log(kReduceAboveStretch) && now - last_reduction_ >= kMinReductionInterval) {
    limit_ *= kReduceFactor;
    last_reduction_ = now;
  } else if (log_stretch_ < std::log(kRaiseBelowStretch)) {
    limit_ = std::max(has_queued ? limit_ * kRaiseFactor : limit_,
                      std::min(initial_threads_per_core_ * cores_, limit_ * kRaiseFactor));
  }
  const double floor = std::min(kMinThreadsPerCore, initial_threads_per_core_) * cores_;
  limit_ = std::clamp(limit_, floor, kMaxLimitOverInitial * initial_threads_per_core_ * cores_);
  window_start_ = now;
  window_cost_ = window_log_stretch_ = window_weight_ = 0;
  window_count_ = 0;
}

}  // namespace yokestream::throttle
