// The leader task `shares`: which share of the fleet's load each manager may count on, by the traffic that
// the live ones report, instead of one over the number of managers that the platform reports.
//
// Rule: the shares in effect never sum up to more than the whole, whoever is slow, silent, disconnected or
// restarted. A share grows only by what is certainly unallocated: the leader publishes a table, waits until
// each live session acknowledges it or its lease has ended (S3), and only then publishes the next. A member
// without a lease keeps the smaller of its last share and its even share, so that much is never given away.
// Nobody has less than half of its even share, with which a newcomer begins.
//
// Shares are integers, in billionths. Managers are identified by name, which is unique in a fleet.
// Pure; any thread. Memory: one number a session, kMaxMembers at most.
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
  store::Revision fencing_token = 0;        // of the leader that wrote it (S1)
  std::map<std::string, LoadShare> shares;  // by session
  bool operator==(const LoadShareTable&) const = default;
};
std::string encode(const LoadShareTable& table);
std::optional<LoadShareTable> decode_load_share_table(std::string_view text);  // nullopt: malformed

class LoadShareCalculator {
 public:
  static constexpr double kDamping = 0.3;  // ratio of the way to the demanded share, a table

  // `reported_manager_count`: as the platform reports it, at least one.
  // `disabled_guards`: of Settings, for tests alone.
  explicit LoadShareCalculator(std::size_t reported_manager_count, unsigned disabled_guards = 0)
      : reported_manager_count_(reported_manager_count), disabled_guards_(disabled_guards) {}
  LoadShare even_share() const { return kFullLoad / static_cast<LoadShare>(reported_manager_count_); }
  LoadShare min_share() const { return even_share() / 2; }

  // Live managers, at most as many as the platform reports.
  std::size_t manager_count(const std::map<std::string, MemberRecord>& live_members) const;
  // Whether all live sessions act on this table.
  static bool acknowledged(const LoadShareTable& table,
                           const std::map<std::string, MemberRecord>& live_members, const std::string& task);
  // The table that follows this one once it is acknowledged; nullopt: it would be the same.
  std::optional<LoadShareTable> next_table(const LoadShareTable& table,
                                           const std::map<std::string, MemberRecord>& live_members) const;

 private:
  // With which newcomers enter the next table; 0: there are none.
  LoadShare newcomer_share(const LoadShareTable& table,
                           const std::map<std::string, MemberRecord>& live_members, LoadShare total) const;
  // What a member with `traffic_ratio` of the fleet's traffic should have, one damped step from `current`.
  LoadShare target_share(LoadShare current, LoadShare total, LoadShare count, double traffic_ratio) const;

  const std::size_t reported_manager_count_;
  const unsigned disabled_guards_;
};

}  // namespace yokestream::coordination
