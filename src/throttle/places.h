// Places kept for clients that were told when to come back: who comes then finds his place, who comes early
// does not, and asking again changes nothing.
//
// A client is known by a key (its connection and class, hashed). A bounded table; where it is full no place
// is kept and the hint is advice only. Places expire. Memory: `capacity` records of 32 bytes, made once.
// Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "throttle/settings.h"

namespace yokestream::throttle {

class Places {
 public:
  Places(std::size_t capacity, Duration keep);

  struct Place {
    Time due{};
    double cost = 0;
  };
  // False: the table is full around this key.
  bool keep(Time now, std::uint64_t key, Place place);
  std::optional<Place> find(Time now, std::uint64_t key);  // one that has not expired
  std::optional<Place> take(Time now, std::uint64_t key);  // the same, which is then free
  std::size_t kept() const { return kept_; }               // with the expired that nobody asked for since

 private:
  struct Slot {
    std::uint64_t key = 0;
    Place place;
    bool used = false;
  };
  static constexpr std::size_t kWays = 16;  // slots that one key may lie in
  Slot* slot(Time now, std::uint64_t key);
  bool expired(Time now, const Slot& s) const { return now > s.place.due + keep_; }

  const Duration keep_;
  std::vector<Slot> slots_;
  std::size_t kept_ = 0;
};

}  // namespace yokestream::throttle
