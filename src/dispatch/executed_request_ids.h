// The ids of requests that must not run twice and may have run, for some time after their end. Reads no
// clock; not thread-safe.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>
#include <utility>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

// Failure: a client leaves while its request runs, and a request with the same id comes again. Symptom: what
// must not run twice does. Guard: such an id is known for kRetention after the first request has ended, or
// until kMaxIds later ones have.
class ExecutedRequestIds {
 public:
  using Time = policy::Time;
  static constexpr policy::Duration kRetention = std::chrono::seconds(60);
  static constexpr std::size_t kMaxIds = 16'384;

  void add(Time now, const std::string& id) {
    forget_until(now - kRetention);
    if (!ids_.insert(id).second) return;
    by_age_.emplace_back(now, id);
    if (by_age_.size() > kMaxIds) forget_oldest();
  }
  bool contains(const std::string& id) const { return ids_.count(id) > 0; }
  // Forgets what was added before `time`.
  void forget_until(Time time) {
    while (!by_age_.empty() && by_age_.front().first < time) forget_oldest();
  }

 private:
  void forget_oldest() {
    ids_.erase(by_age_.front().second);
    by_age_.pop_front();
  }

  std::unordered_set<std::string> ids_;
  std::deque<std::pair<Time, std::string>> by_age_;  // the oldest first
};

}  // namespace yokestream::dispatch
