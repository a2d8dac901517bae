// Which queue of its member a client's requests wait in: thousands of clients, a bounded number of queues.
//
// Most clients are hashed, with a seed that changes, so that whoever shares a queue with a greedy one shares
// it for seconds only. The few clients that ask for most of a member's work are told apart by a heavy-hitter
// count (Metwally's space-saving algorithm, fading) and get queues of their own, so that the rest does not
// wait behind them at all. Memory: kHeavy records a member, whatever the number of clients. Pure.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "throttle/settings.h"

namespace yokestream::throttle {

class Clients {
 public:
  static constexpr std::size_t kHashed = 32, kHeavy = 16, kQueues = kHashed + kHeavy;
  Clients(std::size_t members, std::uint64_t seed) : seed_(seed), members_(members) {}
  // Counts `cost` for the client and names its queue, below kQueues.
  std::size_t queue(Time now, std::size_t member, std::uint64_t client, double cost);

 private:
  struct Counted {
    std::uint64_t client = 0;
    double cost = 0, error = 0;
  };
  struct Member {
    std::array<Counted, kHeavy> top{};
    double all = 0;
    Time faded{};
  };
  std::uint64_t seed_;
  Time seeded_{};
  std::vector<Member> members_;
};

}  // namespace yokestream::throttle
