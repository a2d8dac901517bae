// The budget of retries: over a sliding window, a fixed number and a ratio of the requests that arrived.
#pragma once

#include <deque>

#include "time_units.h"

namespace yokestream::policy {

class RetryBudget {
 public:
  // Uses Settings::retry_budget_*; without a budget every retry is allowed.
  explicit RetryBudget(const Settings& settings);

  void record_request(Time now) { requests_.push_back(now); }
  void record_retry(Time now) { retries_.push_back(now); }
  // Whether one more retry may be sent now.
  bool allows_retry(Time now) const;
  // Drops what has left the window. Memory: one time a request and a retry within it.
  void expire(Time now);

 private:
  const bool enabled_;
  const double min_retries_;
  const double ratio_;  // retries a request
  const Duration window_;
  std::deque<Time> requests_;
  std::deque<Time> retries_;
};

}  // namespace yokestream::policy
