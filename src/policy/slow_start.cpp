#include "slow_start.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Fraction of the work that overloads a cold engine; an engine may be slower than its settings say.
constexpr double kBudgetSafetyRatio = 0.8;
// Fraction of the linear warm-up that the budget relies on, since the actual course is unknown.
constexpr double kWarmUpGrowthRatio = 0.5;
// Standard deviations of all managers' total work that the budget keeps in reserve.
constexpr double kReservedDeviations = 1.5;
constexpr double kCapacityCoreUtilization = 0.85;  // core utilization at which an engine is at its capacity
constexpr double kNeverSeconds = 1e8;              // the work does not fit the budget at all

}  // namespace

void SlowStart::on_engine_started(EngineState& engine, Time started, Time now, RandomSource& random) const {
  if (engine.started && started <= *engine.started) return;
  engine.started = started;
  engine.last_send = now;
  engine.interval_ratio = settings_.manager_count > 1 ? random.next() : 0;
}

void SlowStart::on_send(EngineState& engine, Time now) const {
  engine.last_send = now;
  engine.interval_ratio = 1;
}

bool SlowStart::is_warming(const EngineState& engine, Time now) const {
  return engine.started && now - *engine.started < settings_.slow_start_window;
}

// Failure: a cold engine has only part of its capacity, which the estimates learned for its kind do not show.
// Symptom: the first queries after a restart are late. Guard: estimates are divided by the configured
// fraction of its capacity, which grows linearly until the engine is warm.
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
  const double interval_s = send_interval_s(engine, now, work_s, cores, manager_count);
  return to_seconds(now - engine.last_send) >= engine.interval_ratio * interval_s;
}

// Solves for the interval: mean work of all managers in the window + reserve + this work = budget.
double SlowStart::send_interval_s(const EngineState& engine, Time now, double work_s, double cores,
                                  double manager_count) const {
  const double initial = settings_.slow_start_initial_ratio;
  const double fraction = initial + kWarmUpGrowthRatio * (warm_fraction(engine, now) - initial);
  const double window_s = to_seconds(settings_.cold_overload_window);
  const double budget_s = kBudgetSafetyRatio * settings_.cold_overload_multiple * fraction * cores *
                          kCapacityCoreUtilization * window_s;
  if (work_s >= budget_s) return kNeverSeconds;
  const double half_reserve = kReservedDeviations / 2 * std::sqrt(work_s * (1 - 1.0 / manager_count));
  const double root = std::sqrt(half_reserve * half_reserve + budget_s - work_s) - half_reserve;
  return window_s * work_s * manager_count / (root * root);
}

}  // namespace yokestream::policy
