#include "store/endpoint_rotation.h"

#include <algorithm>
#include <stdexcept>

namespace yokestream::store {

EndpointRotation::EndpointRotation(std::vector<config::Endpoint> endpoints, std::uint64_t seed,
                                   Duration max_backoff)
    : endpoints_(std::move(endpoints)),
      max_backoff_(max_backoff),
      random_(static_cast<std::minstd_rand::result_type>(seed % 2147483646 + 1)) {
  if (endpoints_.empty()) throw std::invalid_argument("the store has no endpoint");
  current_ = random_() % endpoints_.size();
}

void EndpointRotation::record_success(Time) {
  consecutive_failures_ = 0;
  backoff_ = kInitialBackoff;
  next_attempt_at_ = Time::min();
  unavailable_since_ = Time::max();
}

// Failure: all managers reconnect at once when the store recovers.
// Symptom: the burst of connections overloads the store again.
// Guard: the delay is drawn from an interval that grows with the length of the outage, up to max_backoff_.
void EndpointRotation::record_failure(Time now) {
  unavailable_since_ = std::min(unavailable_since_, now);
  current_ = (current_ + 1) % endpoints_.size();
  ++consecutive_failures_;
  if (consecutive_failures_ % endpoints_.size() != 0) return;  // another endpoint is tried without a delay
  std::uniform_real_distribution<double> draw(0, 1);
  const Duration outage = now - unavailable_since_;
  const Duration max_delay = std::min(max_backoff_, std::max(backoff_, kBackoffPerOutage * outage));
  backoff_ = std::min(2 * backoff_, max_backoff_);
  next_attempt_at_ = now + std::chrono::duration_cast<Duration>(max_delay * draw(random_));
}

}  // namespace yokestream::store
