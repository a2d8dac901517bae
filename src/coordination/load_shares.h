// The leader task `shares`: divides the fleet's load among the live managers by the traffic that they report,
// instead of evenly by the number of managers that the platform reports.
//
// Invariant: the shares in effect never sum up to more than the whole, even if members are slow, silent,
// disconnected or restarted. A share grows only by what is certainly unallocated: the leader publishes a
// table, waits until every live session has acknowledged it or its lease has ended (S3, see fleet_member.h),
// and only then publishes the next. A member that has lost its lease keeps the smaller of its last share and
// its even share. The leader therefore never allocates an absent member's even share to other members. Every
// member has at least half of its even share. A member that was never granted a share starts with that half;
// the first table that includes it starts from newcomer_share(), between half and the whole of an even share.
//
// Shares are integers, in billionths. Managers are identified by name, which is unique in a fleet.
// No I/O; callable from any thread. Memory: one number per session, for at most kMaxMembers sessions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/store_keys.h"

namespace yokestream::coordination {

using LoadShare = std::int64_t;
inline constexpr LoadShare kFullLoad = 1'000'000'000;

struct LoadShareTable {
  std::int64_t epoch = 0;
  store::Revision fencing_token = 0;        // of the leader that wrote the table (S1)
  std::map<std::string, LoadShare> shares;  // by session
  bool operator==(const LoadShareTable&) const = default;
};
std::string encode(const LoadShareTable& table);
std::optional<LoadShareTable> decode_load_share_table(std::string_view text);  // nullopt: malformed

class LoadShareCalculator {
 public:
  // Fraction of the difference to the share by traffic that one table makes up.
  static constexpr double kDamping = 0.3;

  // `reported_manager_count`: as reported by the platform, at least one.
  // `disabled_guards`: flags of Settings::Guard, for tests only.
  explicit LoadShareCalculator(std::size_t reported_manager_count, unsigned disabled_guards = 0)
      : reported_manager_count_(reported_manager_count), disabled_guards_(disabled_guards) {}
  LoadShare even_share() const { return kFullLoad / static_cast<LoadShare>(reported_manager_count_); }
  LoadShare min_share() const { return even_share() / 2; }

  // Live managers, at most as many as the platform reports.
  std::size_t manager_count(const std::map<std::string, MemberRecord>& live_members) const;
  // Whether every live session that has a share in this table has acknowledged it.
  static bool acknowledged(const LoadShareTable& table,
                           const std::map<std::string, MemberRecord>& live_members, const std::string& task);
  // The table to publish once this one is acknowledged; nullopt: no share would change.
  std::optional<LoadShareTable> next_table(const LoadShareTable& table,
                                           const std::map<std::string, MemberRecord>& live_members) const;

 private:
  // The share of each newcomer in the next table; 0: there are no newcomers.
  LoadShare newcomer_share(const LoadShareTable& table,
                           const std::map<std::string, MemberRecord>& live_members, LoadShare total) const;
  // Returns the share after one step, damped by kDamping, from `current` towards the share for
  // `traffic_ratio` of the fleet's traffic.
  LoadShare target_share(LoadShare current, LoadShare total, LoadShare count, double traffic_ratio) const;

  const std::size_t reported_manager_count_;
  const unsigned disabled_guards_;
};

}  // namespace yokestream::coordination
