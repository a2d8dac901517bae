// Saves and restores the learned state, and applies changes of the number of managers.
#include "yokestream/policy/learned_state.h"

#include <algorithm>
#include <cmath>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

// Failure: a cost or count that is negative or not finite would corrupt all estimates that depend on it.
bool is_valid(const std::vector<double>& row, std::size_t size) {
  return row.size() == size &&
         std::all_of(row.begin(), row.end(), [](double value) { return std::isfinite(value) && value >= 0; });
}
bool is_valid(const InterferenceWeights& weights, std::size_t size) {
  return weights.size() == size &&
         std::all_of(weights.begin(), weights.end(), [&](const auto& row) { return is_valid(row, size); });
}

bool is_valid(const LearnedPool& pool) {
  const std::vector<double> values = {
      pool.observed_own_queries,     pool.observed_all_queries,       pool.mean_work_s,
      pool.unannounced_time_s,       pool.unannounced_work_s,         pool.unannounced_memory_mb_s,
      pool.mean_unannounced_threads, pool.mean_unannounced_memory_mb, pool.mean_value_per_work_second};
  return pool.observed_own_queries > 0 && pool.observed_all_queries > 0 && is_valid(values, values.size());
}

bool is_valid(const LearnedClass& learned) {
  const std::vector<double> values = {learned.bias,         learned.mean_error,
                                      learned.arrivals,     learned.mean_estimated_work_s,
                                      learned.outcomes,     learned.log_slowdown_deviation,
                                      learned.cost_reports, learned.work_factor,
                                      learned.memory_factor};
  const bool logarithms =
      std::isfinite(learned.mean_log_slowdown) && std::isfinite(learned.best_log_slowdown);
  const bool factors = learned.bias > 0 && learned.work_factor > 0 && learned.memory_factor > 0;
  return logarithms && factors && is_valid(values, values.size());
}

bool is_valid(const LearnedEngine& learned, std::size_t classes) {
  return is_valid(learned.interference, classes) && is_valid(learned.mean_error, classes) &&
         std::isfinite(learned.log_slowdown) && is_valid({learned.recent_outcomes, learned.failure_ratio}, 2);
}

LearnedEngine learned_of(const Engine& engine) {
  LearnedEngine learned;
  learned.interference = engine.latency.interference;
  learned.mean_error = engine.latency.mean_error;
  learned.log_slowdown = engine.congestion.log_slowdown;
  learned.recent_outcomes = engine.congestion.outcomes;
  learned.failure_ratio = engine.outlier.failure_ratio;
  learned.ejected = engine.outlier.ejected;
  return learned;
}

}  // namespace

bool is_compatible(const LearnedState& state, const Settings& settings) {
  const std::size_t classes = settings.classes.size();
  if (state.classes.size() != classes || state.kinds.size() != settings.kinds.size()) return false;
  const auto valid = [](const LearnedClass& learned) { return is_valid(learned); };
  const auto valid_kind = [&](const InterferenceWeights& kind) { return is_valid(kind, classes); };
  const auto valid_engine = [&](const auto& engine) { return is_valid(engine.learned, classes); };
  return is_valid(state.pool) && std::all_of(state.classes.begin(), state.classes.end(), valid) &&
         std::all_of(state.kinds.begin(), state.kinds.end(), valid_kind) &&
         std::all_of(state.engines.begin(), state.engines.end(), valid_engine);
}

LearnedState AdmissionController::Impl::learned_state() const {
  LearnedState state;
  state.classes.resize(settings_.classes.size());
  state.pool.observed_own_queries = load_share_.observed_own();
  state.pool.observed_all_queries = load_share_.observed_all();
  workload_.save(state);
  estimator_.save(state);
  congestion_.save(state);
  for (const auto& [name, engine] : engines_.all())
    if (engine.entry.state != EngineState::removed)
      state.engines.push_back({engine.entry.engine, engine.entry.start_time, learned_of(engine)});
  return state;
}

bool AdmissionController::Impl::restore(const LearnedState& state, Duration age) {
  if (stall_.started() || !is_compatible(state, settings_)) return false;
  load_share_.restore(state.pool.observed_own_queries, state.pool.observed_all_queries);
  workload_.restore(state);
  estimator_.restore(state);
  congestion_.restore(state);
  restored_at_ = now_ - age;
  for (const auto& engine : state.engines) restored_engines_.emplace(engine.id.name, engine);
  return true;
}

// Failure: when the number of managers doubles, each one has half of the capacity. Symptom: engines are
// overloaded until load reports correct the shares. Guard: bounds and shares are scaled immediately.
void AdmissionController::Impl::set_manager_count(double manager_count) {
  const double factor = load_share_.set_manager_count(manager_count);
  bound_.scale(factor);
  for (auto& [name, engine] : engines_.all()) bound_.scale(engine.concurrency, factor, load_share_.value());
}

}  // namespace yokestream::policy
