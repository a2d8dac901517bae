#include "throttle/client_queues.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace yokestream::throttle {
namespace {

constexpr Duration kReseedInterval = std::chrono::seconds(5);
constexpr Duration kDecayInterval = std::chrono::seconds(1);
constexpr double kDecayFactor = 0.7;
// A heavy hitter has certainly asked for more than this part of its tenant's recent work, and for more than
// this many times the current request, so that one large request does not make a client a heavy hitter.
constexpr double kHeavyHitterFraction = 1.0 / 16;
constexpr double kMinRequestsOfHeavyHitter = 4;

}  // namespace

std::size_t ClientQueues::record_and_select(Time now, std::size_t tenant_index, std::uint64_t client,
                                            double cost) {
  Tenant& tenant = tenants_[tenant_index];
  if (now - last_reseed_ >= kReseedInterval)
    last_reseed_ = now, seed_ = XXH3_64bits_withSeed(&seed_, sizeof seed_, seed_);
  if (now - tenant.last_decay >= kDecayInterval) {
    tenant.last_decay = now;
    tenant.total_cost *= kDecayFactor;
    for (Counter& counter : tenant.counters) counter.cost *= kDecayFactor, counter.error *= kDecayFactor;
  }
  tenant.total_cost += cost;
  std::size_t at = 0, smallest = 0;
  while (at < kHeavyHitters && tenant.counters[at].client != client) {
    if (tenant.counters[at].cost < tenant.counters[smallest].cost) smallest = at;
    ++at;
  }
  if (at == kHeavyHitters) {
    // The client replaces the one with the smallest count and inherits that count as its possible error.
    at = smallest;
    tenant.counters[at] = Counter{client, tenant.counters[at].cost, tenant.counters[at].cost};
  }
  Counter& counter = tenant.counters[at];
  counter.cost += cost;
  const double certain_cost = counter.cost - counter.error;
  if (certain_cost > kHeavyHitterFraction * tenant.total_cost &&
      certain_cost > kMinRequestsOfHeavyHitter * cost)
    return kHashedQueues + at;
  return XXH3_64bits_withSeed(&client, sizeof client, seed_) % kHashedQueues;
}

}  // namespace yokestream::throttle
