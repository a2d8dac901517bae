// Reservations of clients that were rejected with a retry-after time. A client that comes back at that time
// claims its reservation; one that comes back early does not, and its repeated requests do not change it.
//
// A client is identified by a key: a hash of its address or connection and the class. The table is bounded;
// when no slot is free for a key, no reservation is made and the retry-after time is advice only.
// Reservations expire. Memory: `capacity` records of 32 bytes, allocated once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "throttle/settings.h"

namespace yokestream::throttle {

class Reservations {
 public:
  // A reservation expires `grace` after its due time.
  Reservations(std::size_t capacity, Duration grace);

  struct Reservation {
    Time due{};
    double cost = 0;
  };
  // False: all slots for this key are in use.
  bool add(Time now, std::uint64_t key, Reservation reservation);
  std::optional<Reservation> find(Time now, std::uint64_t key);   // one that has not expired
  std::optional<Reservation> claim(Time now, std::uint64_t key);  // the same, and frees its slot
  std::size_t size() const { return size_; }  // includes expired ones whose slots were not looked at since

 private:
  struct Slot {
    std::uint64_t key = 0;
    Reservation reservation;
    bool used = false;
  };
  static constexpr std::size_t kWays = 16;  // slots per set; a key may lie in any slot of its set
  Slot* set_of(std::uint64_t key) { return &slots_[key % (slots_.size() / kWays) * kWays]; }
  Slot* find_slot(Time now, std::uint64_t key);
  bool expired(Time now, const Slot& slot) const { return now > slot.reservation.due + grace_; }

  const Duration grace_;
  std::vector<Slot> slots_;
  std::size_t size_ = 0;
};

}  // namespace yokestream::throttle
