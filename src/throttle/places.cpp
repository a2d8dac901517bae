#include "throttle/places.h"

#include <algorithm>

namespace yokestream::throttle {

Places::Places(std::size_t capacity, Duration keep)
    : keep_(keep), slots_((std::max(capacity, kWays) + kWays - 1) / kWays * kWays) {}

Places::Slot* Places::slot(Time now, std::uint64_t key) {
  Slot* const set = &slots_[key % (slots_.size() / kWays) * kWays];
  for (Slot* s = set; s < set + kWays; ++s) {
    if (!s->used || s->key != key) continue;
    if (!expired(now, *s)) return s;
    s->used = false, --kept_;
  }
  return nullptr;
}

bool Places::keep(Time now, std::uint64_t key, Place place) {
  Slot* const set = &slots_[key % (slots_.size() / kWays) * kWays];
  for (Slot* s = set; s < set + kWays; ++s) {
    if (s->used && !expired(now, *s)) continue;
    if (!s->used) ++kept_;
    *s = Slot{key, place, true};
    return true;
  }
  return false;
}

std::optional<Places::Place> Places::find(Time now, std::uint64_t key) {
  const Slot* s = slot(now, key);
  return s ? std::optional(s->place) : std::nullopt;
}

std::optional<Places::Place> Places::take(Time now, std::uint64_t key) {
  Slot* s = slot(now, key);
  if (!s) return std::nullopt;
  s->used = false, --kept_;
  return s->place;
}

}  // namespace yokestream::throttle
