// The one clock of the program: steady, and set against the system's Unix clock.
#pragma once

#include <algorithm>
#include <chrono>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::net {

using policy::Duration;
using policy::Time;

inline Time now() {
  return Time(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}
inline std::chrono::steady_clock::time_point to_steady(Time time) {
  return std::chrono::steady_clock::time_point(
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(time.time_since_epoch()));
}
// For the waits of poll() and epoll: never short of `due`, a minute at most; -1 where there is none.
inline int milliseconds_until(Time due) {
  if (due == Time::max()) return -1;
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(due - now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 60'000));
}
inline Time from_unix_ms(std::int64_t ms) {
  const auto ago = std::chrono::system_clock::now().time_since_epoch() - std::chrono::milliseconds(ms);
  return now() - std::chrono::duration_cast<Duration>(ago);
}

}  // namespace yokestream::net
