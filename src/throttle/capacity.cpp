#include "throttle/capacity.h"

#include <algorithm>
#include <cmath>

#include "base/seconds.h"

namespace yokestream::throttle {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(200);
constexpr int kFew = 6;  // outcomes that a window needs to be judged; else it grows
constexpr Duration kLongest = std::chrono::milliseconds(800);      // and is judged all the same
constexpr Duration kBetweenCuts = std::chrono::milliseconds(400);  // for a cut to show in answers
constexpr double kFar = 3.0;   // stretch over best at which the bound is cut
constexpr double kNear = 2.2;  // under which it is widened
constexpr double kCut = 0.85, kWiden = 1.08;
constexpr double kFloorPerCore = 1.25;
constexpr double kCeiling = 1.15;     // times the bound's start
constexpr double kSmooth = 0.3;       // weight of a window
constexpr double kBestRise = 0.0005;  // by which the best follows a worse level, an outcome
constexpr double kRefused = 1.2;      // logarithm: what one that the module turned away counts for
constexpr double kMostOver = 3;       // logarithm; no outcome counts for more
constexpr double kMostRate = 1.3;     // of a core: some are faster, and warm groups save work
constexpr double kFirstUse = 0.85;    // of the cores, before anything is learnt

}  // namespace

Capacity::Capacity(std::size_t classes, double threads_per_core)
    : first_(threads_per_core), bound_(threads_per_core), rate_(kFirstUse), classes_(classes) {}

// The list tells of engines seconds late, but what it tells is certain: the bound moves with it at once.
void Capacity::cores(double cores) {
  if (cores <= 0 || cores == cores_) return;
  bound_ *= cores / cores_;
  rate_ *= cores / cores_;
  cores_ = cores;
}

double Capacity::stretch() const { return std::exp(over_); }

void Capacity::finished(Time now, std::size_t cls, double stretch, double cost, bool waiting) {
  window_cost_ += cost;
  if (stretch > 0 && cls < classes_.size()) {
    Class& c = classes_[cls];
    const double level = std::log(std::clamp(stretch, 1e-2, 1e4));
    if (!c.seen || level < c.best)
      c.best = c.seen ? c.best + 0.2 * (level - c.best) : level, c.seen = true;
    else
      c.best += kBestRise * (level - c.best);
    window_over_ += cost * std::clamp(level - c.best, 0.0, kMostOver);
    window_weight_ += cost;
    ++window_count_;
  }
  tick(now, waiting);
}

void Capacity::over(Time now, std::size_t cls, double threads, double taken, const Outcome& outcome,
                    bool waiting) {
  if (outcome.refused) return refused(now, taken, waiting);
  if (!outcome.served()) return finished(now, cls, 0, 0, waiting);
  const double cost = outcome.cost(taken);
  finished(now, cls, seconds_of(outcome.took) * threads / std::max(cost, 1e-6), cost, waiting);
}

void Capacity::refused(Time now, double cost, bool waiting) {
  window_over_ += cost * kRefused;
  window_weight_ += cost;
  ++window_count_;
  tick(now, waiting);
}

void Capacity::tick(Time now, bool waiting) {
  if (window_ == Time{}) window_ = now;
  const Duration length = now - window_;
  if (length >= kLongest || (length >= kWindow && window_count_ >= kFew)) close_window(now, waiting);
}

void Capacity::close_window(Time now, bool waiting) {
  const double seconds = seconds_of(now - window_);
  const double rate = window_cost_ / seconds;
  // What is finished while nobody waits says only what was asked for, not what could be done.
  if (waiting)
    rate_ += (rate_learnt_ ? kSmooth : 1) * (rate - rate_), rate_learnt_ = true;
  else
    rate_ += std::max(0.0, kSmooth * kSmooth * (rate - rate_));
  rate_ = std::clamp(rate_, 0.05 * cores_, kMostRate * cores_);
  if (window_count_ > 0) over_ += kSmooth * (window_over_ / std::max(1e-6, window_weight_) - over_);
  if (window_count_ == 0 && waiting) over_ = std::min(kMostOver, over_ + kSmooth);  // nothing comes back
  if (over_ > std::log(kFar) && now - cut_ >= kBetweenCuts) {
    bound_ *= kCut;
    cut_ = now;
  } else if (over_ < std::log(kNear)) {
    bound_ = std::max(waiting ? bound_ * kWiden : bound_, std::min(first_ * cores_, bound_ * kWiden));
  }
  const double least = std::min(kFloorPerCore, first_) * cores_;
  bound_ = std::clamp(bound_, least, kCeiling * first_ * cores_);
  window_ = now;
  window_cost_ = window_over_ = window_weight_ = 0;
  window_count_ = 0;
}

}  // namespace yokestream::throttle
