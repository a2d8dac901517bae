// When the watcher opens its next connection to the control feed. Reads no clock; not thread-safe.
#pragma once

#include <algorithm>
#include <cstdint>

#include "net/clock.h"

namespace yokestream::discovery {

// Failure: the feed serves its callers in turn and needs seconds for the first byte, or it accepted a
// connection that it will never serve. Symptom: in the first case a caller that hangs up loses its turn, in
// the second one that waits is told nothing. Guard: while a connection waits for its first byte, another one
// is opened beside it, each time after a longer wait.
class ReconnectSchedule {
 public:
  using Time = net::Time;
  using Duration = net::Duration;

  // `seed`: for the jitter of the backoff. The first connection is due at once.
  explicit ReconnectSchedule(std::uint64_t seed) : random_state_(seed) {}

  // When the next connection is to be opened; Time::max(): not while the present one delivers.
  Time due() const { return due_; }
  // The address has changed.
  void restart() {
    due_ = Time{};
    wait_ = kMinWait;
  }
  void on_opened(Time now) {
    due_ = now + wait_;
    wait_ = std::min(2 * wait_, kMaxWait);
  }
  void on_first_byte() {
    due_ = Time::max();
    wait_ = kMinWait;
  }
  // A connection has ended. `was_subscribed`: it had been established.
  void on_ended(Time now, bool was_subscribed) {
    due_ = std::min(due_, now + next_backoff());
    if (!was_subscribed) wait_ = kMinWait;
  }

 private:
  static constexpr Duration kMinWait = std::chrono::milliseconds(2200);
  static constexpr Duration kMaxWait = std::chrono::milliseconds(5000);
  // Mean delay between the end of a connection and the next one. It is jittered by half in either direction,
  // so that managers that lost the feed at the same time do not reconnect together.
  static constexpr Duration kBackoff = std::chrono::milliseconds(100);

  Duration next_backoff() {
    random_state_ = random_state_ * 6364136223846793005ull + 1442695040888963407ull;
    return kBackoff / 2 + kBackoff * static_cast<int>(random_state_ >> 33 & 1023) / 1024;
  }

  std::uint64_t random_state_;
  Time due_{};
  Duration wait_ = kMinWait;
};

}  // namespace yokestream::discovery
