// When engines started, on this process's steady clock, from the wall-clock times of the engine list.
//
// The wall clock may be stepped at any time, here or where the list is made, by an hour either way, so a
// start is believed only as far as this process can know: never later than now, never earlier than by the
// clock's earliest reading, and a listed change is no older than kMaxNewsAge. In doubt an engine has
// just started, and is in slow start. Each start is mapped once, so that a stepped clock is not taken
// for a restart. Pure but for the clock that it is given. Memory: one entry an engine, until it is forgotten.
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
  using FromUnix = std::function<Time(std::int64_t unix_ms)>;
  explicit EngineStartTimes(FromUnix from_unix);

  // `is_change`: a delta of the list, not a cached or full one.
  Time start_time(Time now, const std::string& uid, std::int64_t boot_ms, bool is_change);
  void forget(const std::string& uid) { start_times_.erase(uid); }

 private:
  Time estimate(Time now, std::int64_t boot_ms, bool is_change);

  FromUnix from_unix_;
  Time latest_epoch_;  // the steady time of the Unix clock's zero, the latest that was ever read
  std::map<std::string, std::pair<std::int64_t, Time>> start_times_;
};

}  // namespace yokestream::dispatch
