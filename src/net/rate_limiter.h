// Limits the rate at which messages of one client are accepted. Reads no clock; owned by the thread that
// reads the client.
#pragma once

#include <algorithm>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::net {

// Failure: a client repeats its request as fast as it is rejected. Symptom: the dispatcher spends its time on
// rejections. Guard: after a burst, messages are accepted at a fixed rate. Clients that have received a
// result are never limited (client_session.h).
class RateLimiter {
 public:
  using Time = policy::Time;
  using Duration = policy::Duration;
  RateLimiter(int burst_messages, Duration interval)
      : burst_allowance_(burst_messages * interval), interval_(interval) {}

  // Returns when the next message may be accepted; `now` if it may be accepted immediately.
  Time next_permitted(Time now) const {
    return std::max(now, std::max(charged_until_, now) + interval_ - burst_allowance_);
  }
  // Records that a message has been accepted.
  void record(Time now) { charged_until_ = std::max(charged_until_, now) + interval_; }

 private:
  const Duration burst_allowance_;
  const Duration interval_;
  Time charged_until_{};
};

}  // namespace yokestream::net
