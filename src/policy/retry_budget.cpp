#include "retry_budget.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

double count_since(const std::deque<Time>& times, Time from) {
  return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), from));
}

void drop_before(std::deque<Time>& times, Time from) {
  while (!times.empty() && times.front() < from) times.pop_front();
}

}  // namespace

RetryBudget::RetryBudget(const Settings& settings)
    : enabled_(settings.retry_budget_enabled),
      min_retries_(settings.retry_budget_min_retries),
      ratio_(settings.retry_budget_ratio),
      window_(settings.retry_budget_window) {}

bool RetryBudget::allows_retry(Time now) const {
  if (!enabled_) return true;
  const Time from = now - window_;
  const double allowed = min_retries_ + ratio_ * count_since(requests_, from + Duration(1));
  return count_since(retries_, from) + 1 <= allowed;
}

void RetryBudget::expire(Time now) {
  drop_before(requests_, now - window_);
  drop_before(retries_, now - window_);
}

}  // namespace yokestream::policy
