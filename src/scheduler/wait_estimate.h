#pragma once

#include "yokestream/policy/admission_controller.h"

namespace yokestream::scheduler {

// Estimates that clients receive as a quote, counted from now: the time until the request goes to an engine
// and the time until its response. The p90 fields are the 90th percentile, the others the median.
struct WaitEstimate {
  policy::Duration wait{}, wait_p90{}, response{}, response_p90{};
};

}  // namespace yokestream::scheduler
