#include "throttle/reservations.h"

#include <algorithm>

namespace yokestream::throttle {

Reservations::Reservations(std::size_t capacity, Duration grace)
    : grace_(grace), slots_((std::max(capacity, kWays) + kWays - 1) / kWays * kWays) {}

Reservations::Slot* Reservations::find_slot(Time now, std::uint64_t key) {
  Slot* const set = set_of(key);
  for (Slot* slot = set; slot < set + kWays; ++slot) {
    if (!slot->used || slot->key != key) continue;
    if (!expired(now, *slot)) return slot;
    slot->used = false, --size_;
  }
  return nullptr;
}

bool Reservations::add(Time now, std::uint64_t key, Reservation reservation) {
  Slot* const set = set_of(key);
  for (Slot* slot = set; slot < set + kWays; ++slot) {
    if (slot->used && !expired(now, *slot)) continue;
    if (!slot->used) ++size_;
    *slot = Slot{key, reservation, true};
    return true;
  }
  return false;
}

std::optional<Reservations::Reservation> Reservations::find(Time now, std::uint64_t key) {
  const Slot* slot = find_slot(now, key);
  return slot ? std::optional(slot->reservation) : std::nullopt;
}

std::optional<Reservations::Reservation> Reservations::claim(Time now, std::uint64_t key) {
  Slot* slot = find_slot(now, key);
  if (!slot) return std::nullopt;
  slot->used = false, --size_;
  return slot->reservation;
}

}  // namespace yokestream::throttle
