// Estimates when the bytes of one client arrived at this machine. Does no I/O and reads no clock; owned by
// the thread that reads the client.
//
// Failure: a client's bytes are read late, because reading was paused. Symptom: the client's timeout is
// counted from too late a time, and its response is late. Guard: bytes that may have waited are taken to have
// arrived when the pause began, until a read has found nothing; after that nothing that waited is left.
#pragma once

#include <optional>

#include "net/clock.h"

namespace yokestream::net {

class ArrivalClock {
 public:
  // Reading pauses at `now`: bytes that arrive from now on may be read late.
  void on_pause(Time now) {
    if (!unread_since_) unread_since_ = now;
  }
  // Bytes were read at `now`.
  void on_bytes_read(Time now) { arrived_at_ = unread_since_.value_or(now); }
  // A read found nothing: what is read later has not arrived yet.
  void on_nothing_unread() { unread_since_.reset(); }
  // True if bytes that arrived during a pause may still be unread.
  bool may_have_backlog() const { return unread_since_.has_value(); }
  // The earliest time at which the bytes read last may have arrived.
  Time arrived_at() const { return arrived_at_; }

 private:
  std::optional<Time> unread_since_;  // when reading was paused
  Time arrived_at_{};
};

}  // namespace yokestream::net
