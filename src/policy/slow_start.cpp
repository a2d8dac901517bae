#include "slow_start.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kBudgetRatio = 0.8;  // of the work that overloads a cold engine: it may be slower than told
constexpr double kGrowthRatio = 0.5;  // of an even growth while it warms up, which is not told
constexpr double kSpreadDeviations = 1.5;  // of all managers' work together that are kept free
constexpr double kCapacityCoreUse = 0.85;  // core use that the capacity of an engine means
constexpr double kNeverSeconds = 1e8;

}  // namespace

void SlowStart::on_engine_started(EngineState& engine, Time started, Time now, RandomSource& random) const {
  if (engine.started && started <= *engine.started) return;
  engine.started = started;
  engine.last_send = now;
  engine.wait_ratio = settings_.manager_count > 1 ? random.next() : 0;
}

void SlowStart::on_send(EngineState& engine, Time now) const {
  engine.last_send = now;
  engine.wait_ratio = 1;
}

bool SlowStart::is_warming(const EngineState& engine, Time now) const {
  return engine.started && now - *engine.started < settings_.slow_start_window;
}

// Failure: a cold engine does a part of its work, and what its kind taught does not know. Symptom: the first
// queries after a restart are late. Guard: its time is stretched by the part that it is told to have, growing
// evenly until it is warm.
double SlowStart::warm_fraction(const EngineState& engine, Time now) const {
  if (!engine.started || settings_.slow_start_window <= Duration{}) return 1;
  const double age = to_seconds(now - *engine.started) / to_seconds(settings_.slow_start_window);
  if (age >= 1) return 1;
  const double initial = settings_.slow_start_initial_ratio;
  return initial + (1 - initial) * std::max(0.0, age);
}

bool SlowStart::allows_send(const EngineState& engine, Time now, double work_s, double cores,
                            double manager_count) const {
  if (!engine.started || settings_.cold_overload_multiple <= 0) return true;
  if (now - *engine.started > settings_.slow_start_window) return true;
  const double interval_s = turn_interval_s(engine, now, work_s, cores, manager_count);
  return to_seconds(now - engine.last_send) >= engine.wait_ratio * interval_s;
}

// Solves: mean work of all managers in the window + spread + this work = budget.
double SlowStart::turn_interval_s(const EngineState& engine, Time now, double work_s, double cores,
                                  double manager_count) const {
  const double initial = settings_.slow_start_initial_ratio;
  const double fraction = initial + kGrowthRatio * (warm_fraction(engine, now) - initial);
  const double window_s = to_seconds(settings_.cold_overload_window);
  const double budget_s =
      kBudgetRatio * settings_.cold_overload_multiple * fraction * cores * kCapacityCoreUse * window_s;
  if (work_s >= budget_s) return kNeverSeconds;
  const double half_spread = kSpreadDeviations / 2 * std::sqrt(work_s * (1 - 1.0 / manager_count));
  const double root = std::sqrt(half_spread * half_spread + budget_s - work_s) - half_spread;
  return window_s * work_s * manager_count / (root * root);
}

}  // namespace yokestream::policy
