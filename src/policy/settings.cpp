// Which settings make no sense.
#include <string>

#include "state.h"

namespace yokestream::policy {
namespace {
void require(bool good, const std::string& field) {
  if (!good) throw std::invalid_argument("invalid setting: " + field);
}

// Costs and counts: what is no number or below zero would spoil every estimate from then on.
bool costs(const std::vector<double>& row, std::size_t size) {
  return row.size() == size &&
         std::all_of(row.begin(), row.end(), [](double x) { return std::isfinite(x) && x >= 0; });
}
bool costs(const InterferenceWeights& weights, std::size_t size) {
  return weights.size() == size &&
         std::all_of(weights.begin(), weights.end(), [&](const auto& row) { return costs(row, size); });
}

}  // namespace

bool fits(const LearnedState& learnt, const Settings& s) {
  const std::size_t size = s.classes.size();
  if (learnt.classes.size() != size || learnt.kinds.size() != s.kinds.size()) return false;
  const LearnedPool& p = learnt.pool;
  bool good = p.observed_own_queries > 0 && p.observed_all_queries > 0 &&
              costs({p.observed_own_queries, p.observed_all_queries, p.mean_work_s, p.unannounced_time_s,
                     p.unannounced_work_s, p.unannounced_memory_mb_s, p.mean_unannounced_threads,
                     p.mean_unannounced_memory_mb, p.mean_value_per_work_second},
                    9);
  for (const LearnedClass& c : learnt.classes) {
    good = good && std::isfinite(c.mean_log_slowdown) && std::isfinite(c.best_log_slowdown) && c.bias > 0 &&
           c.work_factor > 0 && c.memory_factor > 0 &&
           costs({c.bias, c.mean_error, c.arrivals, c.mean_estimated_work_s, c.outcomes,
                  c.log_slowdown_deviation, c.cost_reports, c.work_factor, c.memory_factor},
                 9);
  }
  for (const InterferenceWeights& kind : learnt.kinds) good = good && costs(kind, size);
  for (const auto& [id, started, e] : learnt.engines) {
    good = good && costs(e.interference, size) && costs(e.mean_error, size) &&
           std::isfinite(e.log_slowdown) && costs({e.recent_outcomes, e.failure_ratio}, 2);
  }
  return good;
}

void check(const Settings& s) {
  require(!s.classes.empty(), "classes");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const auto& c = s.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    require(c.deadline > Duration{}, at + "deadline");
    require(c.latency_objective >= Duration{}, at + "aim");
    require(c.threads > 0, at + "threads");
    require(c.priority_weight >= 0, at + "worth");
    require(c.deduplication_window >= Duration{}, at + "repeat_window");
  }
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    require(s.kinds[i].cores > 0, "kinds[" + std::to_string(i) + "].cores");
    require(s.kinds[i].memory_mb >= 0, "kinds[" + std::to_string(i) + "].memory_mb");
  }
  require(s.manager_count >= 1, "fronts");
  require(s.max_attempts >= 1, "most_attempts");
  require(s.slow_start_initial_ratio > 0 && s.slow_start_initial_ratio <= 1, "start_capacity");
  require(s.slow_start_window >= Duration{} && s.cold_overload_window >= Duration{}, "cold");
  require(s.drain_grace >= Duration{}, "drain_grace");
  require(!s.retry_budget_enabled || (s.retry_budget_window > Duration{} && s.retry_budget_min_retries >= 0 &&
                                      s.retry_budget_ratio >= 0),
          "extra_span");
}

}  // namespace yokestream::policy
