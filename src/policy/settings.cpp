// Which settings make no sense.
#include <string>

#include "state.h"

namespace lynxstand {
namespace {
void require(bool good, const std::string& field) {
  if (!good) throw std::invalid_argument("invalid setting: " + field);
}

// Costs and counts: what is no number or below zero would spoil every estimate from then on.
bool costs(const std::vector<double>& row, std::size_t size) {
  return row.size() == size &&
         std::all_of(row.begin(), row.end(), [](double x) { return std::isfinite(x) && x >= 0; });
}
bool costs(const Weights& weights, std::size_t size) {
  return weights.size() == size &&
         std::all_of(weights.begin(), weights.end(), [&](const auto& row) { return costs(row, size); });
}

}  // namespace

bool fits(const Learnt& learnt, const Settings& s) {
  const std::size_t size = s.classes.size();
  if (learnt.classes.size() != size || learnt.kinds.size() != s.kinds.size()) return false;
  const LearntPool& p = learnt.pool;
  bool good = p.own_seen > 0 && p.all_seen > 0 &&
              costs({p.own_seen, p.all_seen, p.mean_work, p.light_time, p.light_threads, p.light_memory,
                     p.mean_threads, p.mean_memory, p.mean_density},
                    9);
  for (const LearntClass& c : learnt.classes) {
    good = good && std::isfinite(c.level) && std::isfinite(c.best) && c.bias > 0 && c.work_factor > 0 &&
           c.memory_factor > 0 &&
           costs({c.bias, c.mean_error, c.arrived, c.mean_told, c.outcomes, c.spread, c.billed, c.work_factor,
                  c.memory_factor},
                 9);
  }
  for (const Weights& kind : learnt.kinds) good = good && costs(kind, size);
  for (const auto& [id, started, e] : learnt.engines) {
    good = good && costs(e.weights, size) && costs(e.error, size) && std::isfinite(e.slow) &&
           costs({e.slow_count, e.failing}, 2);
  }
  return good;
}

void check(const Settings& s) {
  require(!s.classes.empty(), "classes");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const auto& c = s.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    require(c.deadline > Duration{}, at + "deadline");
    require(c.aim >= Duration{}, at + "aim");
    require(c.threads > 0, at + "threads");
    require(c.worth >= 0, at + "worth");
    require(c.repeat_window >= Duration{}, at + "repeat_window");
  }
  for (std::size_t i = 0; i < s.kinds.size(); ++i) {
    require(s.kinds[i].cores > 0, "kinds[" + std::to_string(i) + "].cores");
    require(s.kinds[i].memory_mb >= 0, "kinds[" + std::to_string(i) + "].memory_mb");
  }
  require(s.fronts >= 1, "fronts");
  require(s.most_attempts >= 1, "most_attempts");
  require(s.start_capacity > 0 && s.start_capacity <= 1, "start_capacity");
  require(s.cold >= Duration{} && s.tip_after >= Duration{}, "cold");
  require(s.drain_grace >= Duration{}, "drain_grace");
  require(!s.extra_limited || (s.extra_span > Duration{} && s.extra_free >= 0 && s.extra_ratio >= 0),
          "extra_span");
}

}  // namespace lynxstand
