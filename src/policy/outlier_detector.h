// Outlier detection: ejects engines that fail, and readmits them after a successful recovery probe.
//
//   state     event                                         next
//   healthy   smoothed failure ratio reaches the threshold   ejected, for a backoff that doubles each time
//   healthy   silent for too long                            ejected
//   ejected   backoff has elapsed                            one recovery probe or query may be sent
//   ejected   success of a send made since the ejection      healthy; one more failure ejects it again
//   ejected   restarted (by the engine list)                 healthy
//
// If most engines are ejected, the evidence against them is considered unreliable and ejected engines are
// used, too (panic mode). The detector itself is stateless: each engine's state is in its record.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class OutlierDetector {
 public:
  struct EngineState {
    double failure_ratio = 0;  // moving average over outcomes
    bool ejected = false;
    Time ejected_at = Time::min();
    Time next_recovery_probe = Time::min();
    Duration backoff = kMinBackoff;
    Time last_response = Time::min();  // anything that shows the engine to be alive
  };
  enum class Failure { connection_refused, attempt_failed };

  // The engine responded in some way, even with an error or by shedding.
  void record_response(EngineState& engine, Time now) const { engine.last_response = now; }
  // The engine served a query sent at `sent`, or answered a probe.
  void record_success(EngineState& engine, Time sent) const;
  void record_failure(EngineState& engine, Failure failure, Time now) const;
  // The engine has queries in flight but has not responded for too long.
  void eject_silent(EngineState& engine, Time now) const;
  void on_restart(EngineState& engine, Time now) const;
  // A query was sent to the engine; if it is ejected, that query is a recovery probe.
  void on_recovery_probe(EngineState& engine, Time now) const;
  // Restores the state that another process learned at `learned_at`. Failures learned too long ago are
  // ignored.
  void restore(EngineState& engine, double failure_ratio, bool ejected, Time learned_at, Time now) const;

  static bool may_probe(const EngineState& engine, Time now) {
    return !engine.ejected || now >= engine.next_recovery_probe;
  }
  // Whether so few engines are healthy that ejected ones are used, too.
  static bool in_panic_mode(std::size_t healthy, std::size_t up);

 private:
  static constexpr Duration kMinBackoff = std::chrono::milliseconds(500);

  void add_failure(EngineState& engine, double weight, Time now) const;
};

}  // namespace yokestream::policy
