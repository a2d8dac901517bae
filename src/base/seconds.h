// Conversions between durations and seconds, for calculations in floating point.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream {

inline constexpr double kEndlessSeconds = 1e6;  // longer times are treated as endless

inline double seconds_of(policy::Duration d) { return std::chrono::duration<double>(d).count(); }
// Times beyond kEndlessSeconds are cut to it.
inline policy::Duration from_seconds(double s) {
  return policy::Duration(static_cast<policy::Duration::rep>(std::min(s, kEndlessSeconds) * 1e9));
}

}  // namespace yokestream
