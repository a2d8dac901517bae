// Converts the wall-clock start times in the engine list to this process's steady clock.
//
// The wall clock may be stepped at any time, here or where the list is written, by an hour in either
// direction. A start time is therefore limited to what this process can verify: it is never later than now,
// never earlier than the earliest reading of the wall clock implies, and a reported change is no older than
// kMaxReportedChangeAge. In doubt the engine counts as just started, which puts it into slow start. Each
// start is converted only once, so that a clock step is not mistaken for a restart.
//
// Pure except for the clock that it is given. Memory: one entry per engine, until forget().
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class EngineStartTimes {
 public:
  using SteadyFromUnix = std::function<Time(std::int64_t unix_ms)>;
  explicit EngineStartTimes(SteadyFromUnix steady_from_unix);

  // `is_change`: the start was reported by a delta of the list, not by a cached or full list.
  Time start_time(Time now, const std::string& uid, std::int64_t boot_ms, bool is_change);
  void forget(const std::string& uid) { start_times_.erase(uid); }

 private:
  Time estimate(Time now, std::int64_t boot_ms, bool is_change);

  SteadyFromUnix steady_from_unix_;
  Time latest_unix_epoch_;  // the latest reading of the steady time that corresponds to Unix time 0
  std::map<std::string, std::pair<std::int64_t, Time>> start_times_;  // by uid: boot_ms, steady time
};

}  // namespace yokestream::dispatch
