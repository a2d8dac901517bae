// Detects that this process was paused and now handles a backlog of events.
//
// Failure: after a stall, elapsed times include the stall, and queued events are handled before the engine
// list that forbids a send. Symptom: healthy engines are judged slow, and queries are sent to draining
// engines. Guard: for some ticks after a stall no engine is judged and nothing is sent.
#pragma once

#include "time_units.h"

namespace yokestream::policy {

class StallDetector {
 public:
  // To be called for every event. The controller's timer fires every kTickInterval, so a longer gap is a
  // stall.
  void observe(Time now) {
    constexpr Duration kStallGap = std::chrono::milliseconds(100);
    if (started_ && now - last_event_ > kStallGap) resumed_at_ = now;
    started_ = true;
    last_event_ = now;
  }
  bool started() const { return started_; }
  // Whether a stall ended less than `ticks` ticks ago.
  bool is_recovering(Time now, int ticks) const { return now < resumed_at_ + ticks * kTickInterval; }

 private:
  bool started_ = false;
  Time last_event_{};
  Time resumed_at_ = Time::min();
};

}  // namespace yokestream::policy
