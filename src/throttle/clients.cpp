#include "throttle/clients.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yokestream::throttle {
namespace {

constexpr Duration kSeedFor = std::chrono::seconds(5);
constexpr Duration kFadeEvery = std::chrono::seconds(1);
constexpr double kFade = 0.7;
constexpr double kHeavyPart = 1.0 / 16;  // of its member's recent work, surely asked for by this client

}  // namespace

std::size_t Clients::queue(Time now, std::size_t member, std::uint64_t client, double cost) {
  Member& m = members_[member];
  if (now - seeded_ >= kSeedFor) seeded_ = now, seed_ = XXH3_64bits_withSeed(&seed_, sizeof seed_, seed_);
  if (now - m.faded >= kFadeEvery) {
    m.faded = now;
    m.all *= kFade;
    for (Counted& c : m.top) c.cost *= kFade, c.error *= kFade;
  }
  m.all += cost;
  std::size_t at = 0, least = 0;
  while (at < kHeavy && m.top[at].client != client) {
    if (m.top[at].cost < m.top[least].cost) least = at;
    ++at;
  }
  if (at == kHeavy) {  // takes the place of the lightest, whose count is what it may have had at most
    at = least;
    m.top[at] = Counted{client, m.top[at].cost, m.top[at].cost};
  }
  m.top[at].cost += cost;
  if (m.top[at].cost - m.top[at].error > kHeavyPart * m.all && m.top[at].cost - m.top[at].error > 4 * cost)
    return kHashed + at;
  return XXH3_64bits_withSeed(&client, sizeof client, seed_) % kHashed;
}

}  // namespace yokestream::throttle
