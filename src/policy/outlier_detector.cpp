#include "outlier_detector.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr double kAttemptWeight = 0.25;      // of one outcome in the failure ratio
constexpr double kRefusedWeight = 0.5;       // of a refused connection
constexpr double kEjectionThreshold = 0.45;  // failure ratio
constexpr double kRecoveredRatio = 0.03;     // failure ratio of an engine whose backoff starts anew
constexpr double kReadmittedRatio = kEjectionThreshold * 0.9;
constexpr double kPanicThreshold = 0.34;  // healthy share of the engines that are up
constexpr Duration kMaxBackoff = std::chrono::milliseconds(6000);
constexpr Duration kNewsExpiry = std::chrono::seconds(6);

}  // namespace

// Failure: an engine that fails most queries, not all, looks healthy by the odd answer. Symptom: it is let
// back at once and fails the next ones. Guard: only what was sent since its ejection lets it back, and then
// one more failure is enough.
void OutlierDetector::record_success(EngineState& engine, Time sent) const {
  engine.failure_ratio *= 1 - kAttemptWeight;
  if (engine.failure_ratio < kRecoveredRatio) engine.backoff = kMinBackoff;
  if (!engine.ejected || sent <= engine.ejected_at) return;
  engine.ejected = false;
  engine.failure_ratio = kReadmittedRatio;
}

void OutlierDetector::record_failure(EngineState& engine, Failure failure, Time now) const {
  add_failure(engine, failure == Failure::connection_refused ? kRefusedWeight : kAttemptWeight, now);
}

void OutlierDetector::add_failure(EngineState& engine, double weight, Time now) const {
  engine.failure_ratio += weight * (1 - engine.failure_ratio);
  if (engine.failure_ratio < kEjectionThreshold) return;
  if (!engine.ejected || now >= engine.next_recovery_probe - engine.backoff / 2) {
    engine.next_recovery_probe = now + engine.backoff;
    engine.backoff = std::min(2 * engine.backoff, kMaxBackoff);
  }
  if (!engine.ejected) engine.ejected_at = now;
  engine.ejected = true;
}

void OutlierDetector::eject_silent(EngineState& engine, Time now) const {
  if (engine.ejected) return;
  engine.failure_ratio = 1;
  add_failure(engine, 1, now);
}

void OutlierDetector::on_restart(EngineState& engine, Time now) const {
  engine.ejected = false;
  engine.failure_ratio = 0;
  engine.backoff = kMinBackoff;
  engine.last_response = now;
}

void OutlierDetector::on_recovery_probe(EngineState& engine, Time now) const {
  if (engine.ejected) engine.next_recovery_probe = now + engine.backoff;
}

void OutlierDetector::restore(EngineState& engine, double failure_ratio, bool ejected, Time learned_at,
                              Time now) const {
  const bool expired = now - learned_at > kNewsExpiry;
  engine.failure_ratio = expired ? 0 : failure_ratio;
  engine.ejected = !expired && ejected;
  engine.ejected_at = learned_at;
  engine.next_recovery_probe = now + kMinBackoff;
}

bool OutlierDetector::in_panic_mode(std::size_t healthy, std::size_t up) {
  return static_cast<double>(healthy) < kPanicThreshold * static_cast<double>(up);
}

}  // namespace yokestream::policy
