// The time limits of a client's message of which only a part has been read. Reads no clock; owned by the
// thread that reads the client.
#pragma once

#include <algorithm>
#include <cstddef>

#include "net/clock.h"

namespace yokestream::net {

// Failure: a client stops in the middle of a message. Symptom: its bytes and its descriptor are held for
// ever. Guard: the message times out when nothing more of it comes, or when it takes too long as a whole.
class MessageTimeout {
 public:
  // At `now` the first `bytes` (at least 1) of the message have been read, and it is incomplete.
  void on_incomplete(Time now, std::size_t bytes) {
    if (bytes_ == 0) started_at_ = now;
    if (bytes != bytes_) progressed_at_ = now;
    bytes_ = bytes;
  }
  // At `now` the rest of the message is not read for a reason of this process: its limits count anew.
  void restart(Time now) {
    started_at_ = now;
    progressed_at_ = now;
  }
  // The message is complete, or is dropped.
  void reset() { bytes_ = 0; }
  // When the message times out; Time::max() if no message is incomplete.
  Time due() const {
    if (bytes_ == 0) return Time::max();
    return std::min(progressed_at_ + kMaxSilence, started_at_ + kMaxDuration);
  }

 private:
  static constexpr Duration kMaxSilence = std::chrono::milliseconds(2200);
  // Clients may write slowly, but not for longer than they would wait for an answer.
  static constexpr Duration kMaxDuration = std::chrono::seconds(10);

  std::size_t bytes_ = 0;  // 0: no message is incomplete
  Time started_at_{};
  Time progressed_at_{};
};

}  // namespace yokestream::net
