// Turns at cold engines: all fronts together must not push one over.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kColdShare = 0.8;   // of the work that topples a cold engine: it may be slower than told
constexpr double kColdGrowth = 0.5;  // of an even growth while it warms up, which is not told
constexpr double kColdSpread = 1.5;  // standard deviations of all fronts' work together that are kept free
constexpr double kFullUse = 0.85;    // core use that the capacity of an engine means

}  // namespace

// Danger: work sent to an engine just started topples it, and one that nobody dares to fill stays empty.
// Fronts take turns: the time between two of one front's grows with the work it sent, and the first comes
// at random, so that the fronts' sum over any window varies like independent arrivals, with room for it.
bool AdmissionController::Impl::cold_room(const Engine& e, double work) const {
  if (!e.cold_since || s.cold_overload_multiple <= 0 || now - *e.cold_since > s.slow_start_window)
    return true;
  return seconds(now - e.cold_turn) >= e.cold_wait * cold_interval(e, work);
}

double AdmissionController::Impl::cold_interval(const Engine& e, double work) const {
  const double part = s.slow_start_initial_ratio + kColdGrowth * (warmth(e) - s.slow_start_initial_ratio);
  const double most =
      kColdShare * s.cold_overload_multiple * part * e.cores * kFullUse * seconds(s.cold_overload_window);
  if (work >= most) return 1e8;
  const double half =
      kColdSpread / 2 * std::sqrt(work * (1 - 1.0 / fronts));  // of mean + spread + work = most
  const double root = std::sqrt(half * half + most - work) - half;
  return seconds(s.cold_overload_window) * work * fronts / (root * root);
}

}  // namespace yokestream::policy
