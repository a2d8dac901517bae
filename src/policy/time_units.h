// Conversions between the caller's clock and seconds, and the controller's tick interval.
#pragma once

#include <algorithm>
#include <cstddef>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// Interval at which queued queries, silent engines and deadlines are checked.
inline constexpr Duration kTickInterval = std::chrono::milliseconds(20);

// Earlier than all events, yet differences to it do not overflow.
inline constexpr Time kLongAgo = Time(Duration::min() / 2);

// Means "no limit" in comparisons of seconds.
inline constexpr double kUnlimitedSeconds = 1e9;

inline double to_seconds(Duration span) { return std::chrono::duration<double>(span).count(); }

// Limits the span to kMaxSeconds, about three years, so that the result does not overflow.
inline Duration from_seconds(double span_s) {
  constexpr double kMaxSeconds = 1e8;
  return Duration(static_cast<Duration::rep>(std::min(span_s, kMaxSeconds) * 1e9));
}

// Position in the settings of the class, kind or tenant with this identifier.
template <class Id>
std::size_t index_of(Id id) {
  return static_cast<std::size_t>(id);
}

}  // namespace yokestream::policy
