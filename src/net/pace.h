// How fast one client's messages are taken in. Knows no clock.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::net {

// Guards the core against a client that asks as fast as it is refused: beyond a burst its messages are read
// at a steady pace. A client that is served is never slowed.
class Pace {
 public:
  using Time = policy::Time;
  using Duration = policy::Duration;
  Pace(int burst, Duration between) : burst_(burst * between), between_(between) {}

  // When the next message may be taken in; `now` where that is at once.
  Time next_at(Time now) const { return std::max(now, std::max(owed_until_, now) + between_ - burst_); }
  void took(Time now) { owed_until_ = std::max(owed_until_, now) + between_; }

 private:
  const Duration burst_, between_;
  Time owed_until_{};
};

}  // namespace yokestream::net
