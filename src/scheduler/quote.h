// How long a request will wait and take, as told to who asks.
#pragma once

#include "yokestream/policy/admission_controller.h"

namespace yokestream::scheduler {

// From now: until it goes to an engine, and until its answer comes; the median, and what nine in ten keep.
struct Quote {
  policy::Duration wait{}, wait_most{}, answer{}, answer_most{};
};

}  // namespace yokestream::scheduler
