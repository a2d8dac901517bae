// Chooses the endpoint of the store for the next call, and the earliest time for that call.
//
// Each manager starts at an endpoint drawn from its own seed and uses it as long as it responds. A failure
// moves the manager to the next endpoint. Once all endpoints have failed in a row, it backs off for a random
// part of ten times the length of the outage, at most `max_backoff`.
//
// Reads no clock: takes outcomes with a time. Not thread-safe. Memory: the list of endpoints.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/settings.h"

namespace yokestream::store {

using policy::Duration;
using policy::Time;

class EndpointRotation {
 public:
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
  static constexpr int kBackoffPerOutage = 10;  // ratio of the longest backoff to the length of the outage

  // Throws std::invalid_argument if `endpoints` is empty.
  EndpointRotation(std::vector<config::Endpoint> endpoints, std::uint64_t seed, Duration max_backoff);

  const config::Endpoint& current() const { return endpoints_[current_]; }
  Time next_attempt_at() const { return next_attempt_at_; }  // Time::min(): immediately
  void record_success(Time now);
  void record_failure(Time now);

 private:
  const std::vector<config::Endpoint> endpoints_;  // never empty
  const Duration max_backoff_;
  std::minstd_rand random_;
  std::size_t current_ = 0;
  std::size_t consecutive_failures_ = 0;
  Duration backoff_ = kInitialBackoff;
  Time next_attempt_at_ = Time::min();
  Time unavailable_since_ = Time::max();  // first failure since the last success; max: none
};

}  // namespace yokestream::store
