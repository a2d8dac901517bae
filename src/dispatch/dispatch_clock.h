// The time of the event that is being handled. Owned by the Dispatcher, which alone advances it; its
// components read it. One thread.
#pragma once

#include <algorithm>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class DispatchClock {
 public:
  explicit DispatchClock(Time now) : now_(now) {}
  Time now() const { return now_; }
  void advance_to(Time now) { now_ = std::max(now_, now); }  // never runs backwards

 private:
  Time now_;
};

}  // namespace yokestream::dispatch
