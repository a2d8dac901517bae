#include "outlier_detector.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

// Weights of one outcome in the moving average of failures.
constexpr double kAttemptWeight = 0.25;
constexpr double kRefusedWeight = 0.5;
// Thresholds of the failure ratio.
constexpr double kEjectionThreshold = 0.45;
constexpr double kRecoveredRatio = 0.03;  // below this the backoff is reset
constexpr double kReadmittedRatio = kEjectionThreshold * 0.9;
constexpr double kPanicThreshold = 0.34;  // healthy fraction of the engines that are up
constexpr Duration kMaxBackoff = std::chrono::milliseconds(6000);
constexpr Duration kRestoredStateMaxAge = std::chrono::seconds(6);

}  // namespace

// Failure: an engine that fails most but not all queries looks healthy by its occasional answers. Symptom: it
// is readmitted at once and fails the next queries. Guard: only a success of a send made since the ejection
// readmits it, and then a single failure ejects it again.
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
  const bool expired = now - learned_at > kRestoredStateMaxAge;
  engine.failure_ratio = expired ? 0 : failure_ratio;
  engine.ejected = !expired && ejected;
  engine.ejected_at = learned_at;
  engine.next_recovery_probe = now + kMinBackoff;
}

bool OutlierDetector::in_panic_mode(std::size_t healthy, std::size_t up) {
  return static_cast<double>(healthy) < kPanicThreshold * static_cast<double>(up);
}

}  // namespace yokestream::policy
