// Durations as numbers of seconds, for what is worked out in them.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream {

inline double seconds_of(policy::Duration d) { return std::chrono::duration<double>(d).count(); }
inline policy::Duration from_seconds(double s) {  // no more than a million: what is longer is for ever
  return policy::Duration(static_cast<policy::Duration::rep>(std::min(s, 1e6) * 1e9));
}

}  // namespace yokestream
