// Decides which of a client's messages are accepted, which are refused, and when the client is not read.
// Reads no clock; owned by the thread that reads the client.
#pragma once

#include "net/rate_limiter.h"

namespace yokestream::net {

// Failure: a message that exceeds the client's rate waits unread or undecoded, and so does the cancellation
// behind it. Symptom: once the rate permits the message, an engine runs what its client has taken back.
// Guard: such a message is refused at once, and so are all others until nothing of the client is unread. So
// no request is accepted while its cancellation may be unread.
//
// Failure: refusing costs processor time, too. Symptom: a client that sends at full speed delays all others.
// Guard: beyond a number of refusals the client is read at a fixed rate, and meanwhile nothing is accepted.
class IntakeLimiter {
 public:
  using Time = RateLimiter::Time;
  using Duration = RateLimiter::Duration;

  // When the next message may be read; `now` if it may be read immediately.
  Time next_read(Time now) const { return refusals_.next_permitted(now); }
  bool may_read(Time now) const { return next_read(now) <= now; }
  // A request was read. True: it is accepted; false: it is to be refused. `was_served`: the client has had a
  // result, so its rate is not limited.
  bool accept(Time now, bool was_served) {
    if (!refusing_ && was_served) return true;
    if (!refusing_ && requests_.next_permitted(now) <= now) {
      requests_.record(now);
      return true;
    }
    refusing_ = true;
    refusals_.record(now);
    return false;
  }
  // A request was read and is refused for another reason than the client's rate.
  void on_refused(Time now) { refusals_.record(now); }
  // A message was read that has no effect.
  void on_ignored(Time now, bool was_served) {
    if (!was_served) refusals_.record(now);
  }
  // A read found nothing: no cancellation of a request that is read later has arrived yet.
  void on_nothing_unread() { refusing_ = false; }
  bool is_refusing() const { return refusing_; }

 private:
  // A client may have 32 open requests, and may send each of them again.
  static constexpr int kBurstRequests = 64;
  // Exceeds the requests that clients are known to send at once, and as many cancellations.
  static constexpr int kBurstRefusals = 1024;
  static constexpr Duration kMessageInterval = std::chrono::milliseconds(20);

  RateLimiter requests_{kBurstRequests, kMessageInterval};
  RateLimiter refusals_{kBurstRefusals, kMessageInterval};
  bool refusing_ = false;  // since a request exceeded the rate, until nothing is unread
};

}  // namespace yokestream::net
