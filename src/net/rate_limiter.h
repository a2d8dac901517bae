// Limits the rate at which one client's messages are accepted. Reads no clock; owned by whoever reads the
// client.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::net {

// Failure: a client repeats its request as fast as it is rejected. Symptom: the core is busy with rejections.
// Guard: beyond a burst its messages are accepted at a steady rate. A client that has had a result is never
// limited (client_session.h).
class RateLimiter {
 public:
  using Time = policy::Time;
  using Duration = policy::Duration;
  RateLimiter(int burst_messages, Duration interval)
      : burst_allowance_(burst_messages * interval), interval_(interval) {}

  // When the next message may be accepted; `now` where that is at once.
  Time next_permitted(Time now) const {
    return std::max(now, std::max(charged_until_, now) + interval_ - burst_allowance_);
  }
  // A message has been accepted.
  void record(Time now) { charged_until_ = std::max(charged_until_, now) + interval_; }

 private:
  const Duration burst_allowance_;
  const Duration interval_;
  Time charged_until_{};
};

}  // namespace yokestream::net
