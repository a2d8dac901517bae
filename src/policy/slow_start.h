// Slow start: an engine that has just started does a part of its work, and must not be pushed over by all
// managers together.
//
// Managers take turns at a warming engine: the time between two sends of one manager grows with the work that
// it sent, and its first turn comes at a random time, so that the managers' sum over any window varies like
// independent arrivals, with room for that. Work in seconds of one thread.
#pragma once

#include <optional>

#include "random_source.h"
#include "time_units.h"

namespace yokestream::policy {

class SlowStart {
 public:
  struct EngineState {
    std::optional<Time> started;  // its last start; nullopt: long ago
    Time last_send = Time::min();
    double wait_ratio = 1;     // of the time between two turns that is waited
    double warm_fraction = 1;  // of its full work that it can do, as refreshed last
  };

  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  void on_engine_started(EngineState& engine, Time started, Time now, RandomSource& random) const;
  void on_send(EngineState& engine, Time now) const;
  void refresh(EngineState& engine, Time now) const { engine.warm_fraction = warm_fraction(engine, now); }

  bool is_warming(const EngineState& engine, Time now) const;
  // Whether this manager has its turn with a query of so much work.
  bool allows_send(const EngineState& engine, Time now, double work_s, double cores,
                   double manager_count) const;

 private:
  double warm_fraction(const EngineState& engine, Time now) const;
  double turn_interval_s(const EngineState& engine, Time now, double work_s, double cores,
                         double manager_count) const;

  const Settings& settings_;
};

}  // namespace yokestream::policy
