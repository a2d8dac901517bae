// Limits retries over a sliding window to a fixed number plus a ratio of the requests that arrived in it.
#pragma once

#include <deque>

#include "time_units.h"

namespace yokestream::policy {

class RetryBudget {
 public:
  // Configured by Settings::retry_budget_*; if the budget is disabled, every retry is allowed.
  explicit RetryBudget(const Settings& settings);

  void record_request(Time now) { requests_.push_back(now); }
  void record_retry(Time now) { retries_.push_back(now); }
  bool allows_retry(Time now) const;
  // Drops entries older than the window. Memory use: one timestamp per request and per retry in the window.
  void expire(Time now);

 private:
  const bool enabled_;
  const double min_retries_;
  const double ratio_;  // retries per request
  const Duration window_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

}  // namespace yokestream::policy
