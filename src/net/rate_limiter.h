// How fast one client's messages are taken in. Knows no clock.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::net {

// Guards the core against a client that asks as fast as it is refused: beyond a burst its messages are read
// at a steady pace. A client that is served is never slowed.
class RateLimiter {
 public:
  using Time = policy::Time;
  using Duration = policy::Duration;
  RateLimiter(int burst, Duration between) : burst_allowance_(burst * between), interval_(between) {}

  // When the next message may be taken in; `now` where that is at once.
  Time next_permitted(Time now) const {
    return std::max(now, std::max(charged_until_, now) + interval_ - burst_allowance_);
  }
  void record(Time now) { charged_until_ = std::max(charged_until_, now) + interval_; }

 private:
  const Duration burst_allowance_, interval_;
  Time charged_until_{};
};

}  // namespace yokestream::net
