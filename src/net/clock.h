// The clock of the program: the steady clock, and conversions from the system's Unix time.
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
// The timeout for poll() and epoll_wait(): rounded up so that the wait does not end before `due`, and at most
// a minute. -1 (no timeout) if `due` is Time::max().
inline int milliseconds_until(Time due) {
  if (due == Time::max()) return -1;
  const auto remaining_ms = std::chrono::ceil<std::chrono::milliseconds>(due - now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(remaining_ms, 0, 60'000));
}
inline Time from_unix_ms(std::int64_t ms) {
  const auto age = std::chrono::system_clock::now().time_since_epoch() - std::chrono::milliseconds(ms);
  return now() - std::chrono::duration_cast<Duration>(age);
}

}  // namespace yokestream::net
