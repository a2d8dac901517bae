// The time of the event that is being handled. Owned and advanced by the Dispatcher; its components only read
// it. Not thread-safe.
#pragma once

#include <algorithm>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class DispatchClock {
 public:
  explicit DispatchClock(Time now) : now_(now) {}
  Time now() const { return now_; }
  void advance_to(Time now) { now_ = std::max(now_, now); }  // monotonic: an earlier time is ignored

 private:
  Time now_;
};

}  // namespace yokestream::dispatch
