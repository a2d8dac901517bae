// Whether this process stood still for a moment and now receives everything at once.
//
// Failure: after a stall, elapsed times hold the stall itself, and queued events are worked off before the
// engine list that forbids a send. Symptom: healthy engines are judged slow; queries go to engines that
// drain. Guard: for some ticks after a stall nothing is judged and nothing is sent.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class StallDetector {
 public:
  // Every event. Its own timer comes each kTickInterval, so a longer gap is a stall.
  void observe(Time now) {
    constexpr Duration kStallGap = std::chrono::milliseconds(100);
    if (started_ && now - last_event_ > kStallGap) resumed_at_ = now;
    started_ = true;
    last_event_ = now;
  }
  bool started() const { return started_; }
  // Whether a stall ended less than so many ticks ago.
  bool is_recovering(Time now, int ticks) const { return now < resumed_at_ + ticks * kTickInterval; }

 private:
  bool started_ = false;
  Time last_event_{};
  Time resumed_at_ = Time::min();
};

}  // namespace yokestream::policy
