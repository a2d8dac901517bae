// Maps a client's requests to a queue of its tenant: thousands of clients, a bounded number of queues.
//
// Most clients are hashed with a seed that changes every few seconds, so that a client that shares a queue
// with a heavy hitter does so only for seconds. The few clients that ask for most of a tenant's work are
// found by a decaying heavy-hitter count (Metwally's space-saving algorithm) and get queues of their own, so
// that the other clients do not wait behind them. Memory: kHeavyHitters records per tenant, whatever the
// number of clients.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "throttle/settings.h"

namespace yokestream::throttle {

class ClientQueues {
 public:
  static constexpr std::size_t kHashedQueues = 32, kHeavyHitters = 16;
  static constexpr std::size_t kQueues = kHashedQueues + kHeavyHitters;  // per tenant
  ClientQueues(std::size_t tenants, std::uint64_t seed) : seed_(seed), tenants_(tenants) {}
  // Adds `cost` to the client's count and returns the index of its queue, below kQueues.
  std::size_t record_and_select(Time now, std::size_t tenant, std::uint64_t client, double cost);

 private:
  struct Counter {
    std::uint64_t client = 0;
    double cost = 0;   // upper bound of the client's recent cost
    double error = 0;  // by which `cost` may be too high
  };
  struct Tenant {
    std::array<Counter, kHeavyHitters> counters{};
    double total_cost = 0;
    Time last_decay{};
  };
  std::uint64_t seed_;
  Time last_reseed_{};
  std::vector<Tenant> tenants_;
};

}  // namespace yokestream::throttle
