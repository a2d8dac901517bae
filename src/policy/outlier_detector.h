// Outlier detection: an engine that fails is ejected, and let back by a recovery probe.
//
//   state     event                                         next
//   healthy   smoothed failure ratio reaches the threshold   ejected, for a backoff that doubles each time
//   healthy   silent for too long                            ejected
//   ejected   backoff over                                   one query or probe may go there
//   ejected   success of what was sent since the ejection    healthy; one more failure ejects it again
//   ejected   restarted (by the engine list)                 healthy
//
// Where most engines are ejected, the evidence is doubted and not the engines (panic mode). Keeps no state of
// its own: each engine's is in its record.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class OutlierDetector {
 public:
  struct EngineState {
    double failure_ratio = 0;  // of outcomes, smoothed
    bool ejected = false;
    Time ejected_at = Time::min();
    Time next_recovery_probe = Time::min();
    Duration backoff = kMinBackoff;
    Time last_response = Time::min();  // anything that shows that it lives
  };
  enum class Failure { connection_refused, attempt_failed };

  // The engine gave some sign of life.
  void record_response(EngineState& engine, Time now) const { engine.last_response = now; }
  // It served what was sent at `sent`, or answered a probe.
  void record_success(EngineState& engine, Time sent) const;
  void record_failure(EngineState& engine, Failure failure, Time now) const;
  // Nothing came of what runs there for too long.
  void eject_silent(EngineState& engine, Time now) const;
  void on_restart(EngineState& engine, Time now) const;
  // While it is ejected, a query was sent there as a recovery probe.
  void on_recovery_probe(EngineState& engine, Time now) const;
  // Takes over what another process knew `learned_at`; old news of a failing engine says nothing.
  void restore(EngineState& engine, double failure_ratio, bool ejected, Time learned_at, Time now) const;

  static bool may_probe(const EngineState& engine, Time now) {
    return !engine.ejected || now >= engine.next_recovery_probe;
  }
  // Panic mode: so few engines are healthy that ejected ones are used, too.
  static bool in_panic_mode(std::size_t healthy, std::size_t up);

 private:
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(500);

  void add_failure(EngineState& engine, double weight, Time now) const;
};

}  // namespace yokestream::policy
