// Slow start: an engine that has just started has only part of its capacity, and the managers together must
// not overload it.
//
// Each manager spaces its sends to a warming engine by an interval that grows with the work sent. Its first
// send comes after a random part of that interval, so that the managers' total over any window varies like
// independent arrivals; the budget leaves room for this variation. Work is in seconds of one thread.
#pragma once

#include <optional>

#include "random_source.h"
#include "time_units.h"

namespace yokestream::policy {

class SlowStart {
 public:
  struct EngineState {
    std::optional<Time> started;  // last start; nullopt if it was long ago
    Time last_send = Time::min();
    double interval_ratio = 1;  // fraction of the interval between two sends that is waited
    double warm_fraction = 1;   // fraction of its full capacity, as of the last refresh
  };

  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  void on_engine_started(EngineState& engine, Time started, Time now, RandomSource& random) const;
  void on_send(EngineState& engine, Time now) const;
  void refresh(EngineState& engine, Time now) const { engine.warm_fraction = warm_fraction(engine, now); }

  bool is_warming(const EngineState& engine, Time now) const;
  // Whether this manager may now send a query of this much work.
  bool allows_send(const EngineState& engine, Time now, double work_s, double cores,
                   double manager_count) const;

 private:
  double warm_fraction(const EngineState& engine, Time now) const;
  double send_interval_s(const EngineState& engine, Time now, double work_s, double cores,
                         double manager_count) const;

  const Settings& settings_;
};

}  // namespace yokestream::policy
