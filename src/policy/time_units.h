// Conversions between the caller's clock and plain seconds, and the interval at which the controller looks at
// what time alone changes.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// How often queued queries, silent engines and deadlines are looked at.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

// Earlier than all events; a time may still be subtracted from it.
inline constexpr Time kLongAgo = Time(Duration::min() / 2);

// Stands for "no limit" where seconds are compared.
inline constexpr double kUnlimitedSeconds = 1e9;

inline double to_seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

// Spans of over three years are cut, so that the result does not overflow.
inline Duration from_seconds(double span_s) {
  constexpr double kLongestSeconds = 1e8;
  return Duration(static_cast<Duration::rep>(std::min(span_s, kLongestSeconds) * 1e9));
}

// The position that an identifier of a class, kind or tenant stands for in the settings.
template <class Id>
std::size_t index_of(Id id) {
  return static_cast<std::size_t>(id);
}

}  // namespace yokestream::policy
