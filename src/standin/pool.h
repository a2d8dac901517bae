// The platform's configuration of a pool of ours: three members, three classes, some engines, as a JSON text
// that `yokestream serve --config` and the tests' virtual pool both read.
#pragma once

#include <string>
#include <vector>

#include "config/members.h"

namespace yokestream::standin {

struct PoolSettings {
  std::string listen = "127.0.0.1:0";
  std::string feed;  // empty: none
  std::vector<config::Endpoint> engines;
  double cores = 8;                     // of each
  double capacity_per_s = 64;           // requests a second that the members' quotas add up to; 0: no quotas
  std::uint64_t most_hint_ms = 60'000;  // advice that clients heed
  std::uint64_t seed = 1;
  std::size_t memory_mb = 64, sockets = 512;
};

constexpr std::size_t kMembers = 3, kLookup = 0, kReport = 1, kLoad = 2;  // members by share, largest first
extern const char* const kMemberNames[kMembers];
extern const char* const kClassNames[3];
extern const double kShares[kMembers];

// Wanted within kAimOf + kStretchOf x work / threads, in seconds; by class.
constexpr double kAimOf[] = {0.8, 3, 4}, kStretchOf[] = {2, 2.5, 2.5}, kThreadsOf[] = {1, 2, 2};
constexpr double kMostWork = 6;  // times the mean: widely spread, yet bounded

// `prefix`, then the number in decimal digits.
std::string numbered(const char* prefix, std::size_t number);
std::string platform_config(const PoolSettings& pool);
// One event of the control feed about one engine.
std::string member_event(std::uint64_t number, const std::string& uid, const config::Endpoint& at,
                         const std::string& state, std::int64_t boot_ms);

}  // namespace yokestream::standin
