// Validates the settings.
#include <stdexcept>
#include <string>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

// `name` is the setting's external name, which operators see in the error.
void require(bool valid, const std::string& name) {
  if (!valid) throw std::invalid_argument("invalid setting: " + name);
}

void check(const ClassSettings& query_class, const std::string& path) {
  require(query_class.deadline > Duration{}, path + "deadline");
  require(query_class.latency_objective >= Duration{}, path + "aim");
  require(query_class.threads > 0, path + "threads");
  require(query_class.priority_weight >= 0, path + "worth");
  require(query_class.deduplication_window >= Duration{}, path + "repeat_window");
}

void check_retry_budget(const Settings& settings) {
  if (!settings.retry_budget_enabled) return;
  require(settings.retry_budget_window > Duration{} && settings.retry_budget_min_retries >= 0 &&
              settings.retry_budget_ratio >= 0,
          "extra_span");
}

}  // namespace

void check(const Settings& settings) {
  require(!settings.classes.empty(), "classes");
  for (std::size_t i = 0; i < settings.classes.size(); ++i)
    check(settings.classes[i], "classes[" + std::to_string(i) + "].");
  for (std::size_t i = 0; i < settings.kinds.size(); ++i) {
    require(settings.kinds[i].cores > 0, "kinds[" + std::to_string(i) + "].cores");
    require(settings.kinds[i].memory_mb >= 0, "kinds[" + std::to_string(i) + "].memory_mb");
  }
  require(settings.manager_count >= 1, "fronts");
  require(settings.max_attempts >= 1, "most_attempts");
  require(settings.slow_start_initial_ratio > 0 && settings.slow_start_initial_ratio <= 1, "start_capacity");
  require(settings.slow_start_window >= Duration{} && settings.cold_overload_window >= Duration{}, "cold");
  require(settings.drain_grace >= Duration{}, "drain_grace");
  check_retry_budget(settings);
}

}  // namespace yokestream::policy
