#include "coordination/load_shares.h"

#include <json/json.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>

namespace yokestream::coordination {
namespace {

constexpr double kMinRelativeChange = 0.05;  // of a share; smaller changes are not made

}  // namespace

bool LoadShareCalculator::acknowledged(const LoadShareTable& table,
                                       const std::map<std::string, MemberRecord>& live_members,
                                       const std::string& task) {
  return std::all_of(live_members.begin(), live_members.end(), [&](const auto& session) {
    if (!table.shares.count(session.first)) return true;  // not in the table: uses at most its even share
    const auto acknowledgement = session.second.acknowledged_epochs.find(task);
    return acknowledgement != session.second.acknowledged_epochs.end() &&
           acknowledgement->second >= table.epoch;
  });
}

// Counts names, not sessions: a restarted manager may have two sessions for a while but is entitled to one
// even share.
std::size_t LoadShareCalculator::manager_count(
    const std::map<std::string, MemberRecord>& live_members) const {
  std::set<std::string> manager_names;
  for (const auto& [session, member] : live_members) manager_names.insert(member.name);
  return std::min(manager_names.size(), reported_manager_count_);
}

LoadShare LoadShareCalculator::newcomer_share(const LoadShareTable& table,
                                              const std::map<std::string, MemberRecord>& live_members,
                                              LoadShare total) const {
  LoadShare allocated = 0;
  LoadShare newcomers = 0;
  for (const auto& [session, member] : live_members) {
    const auto previous = table.shares.find(session);
    allocated += previous != table.shares.end() ? previous->second : 0;
    newcomers += previous == table.shares.end();
  }
  if (newcomers == 0) return 0;
  // Reserves an even share for each of the other newcomers, as they may use that much.
  return std::clamp(total - allocated - (newcomers - 1) * even_share(), min_share(), even_share());
}

// Each member gets the minimum, and the rest is divided by traffic. The sum is within `total`, as the minimum
// is half of the even share.
LoadShare LoadShareCalculator::target_share(LoadShare current, LoadShare total, LoadShare count,
                                            double traffic_ratio) const {
  const auto demanded =
      min_share() + static_cast<LoadShare>(static_cast<double>(total - count * min_share()) * traffic_ratio);
  const auto change = static_cast<double>(demanded - current);
  auto target = current + static_cast<LoadShare>(kDamping * change);
  if (std::abs(change) < kMinRelativeChange * static_cast<double>(current)) target = current;
  return std::max(target, min_share());
}

// Shrinking shares take effect in this table. Growing shares divide only what was unallocated before it; what
// this table releases is available to the next one. So while some members act on a table and others still on
// the one before, the sum of each member's larger share stays within the total.
std::optional<LoadShareTable> LoadShareCalculator::next_table(
    const LoadShareTable& table, const std::map<std::string, MemberRecord>& live_members) const {
  const auto count = static_cast<LoadShare>(manager_count(live_members));
  const LoadShare total = count * even_share();
  double traffic = 0;
  for (const auto& [session, member] : live_members) traffic += std::max(0.0, member.requests_per_s);
  const LoadShare initial_share = newcomer_share(table, live_members, total);
  LoadShareTable next{table.epoch + 1, table.fencing_token, {}};
  std::map<std::string, LoadShare> targets;
  LoadShare in_effect = 0;
  LoadShare total_increase = 0;
  for (const auto& [session, member] : live_members) {
    const auto previous = table.shares.find(session);
    const bool is_newcomer = previous == table.shares.end();
    const LoadShare current = is_newcomer ? initial_share : previous->second;
    const double traffic_ratio = traffic > 0 ? std::max(0.0, member.requests_per_s) / traffic
                                             : 1 / static_cast<double>(live_members.size());
    const LoadShare target = target_share(current, total, count, traffic_ratio);
    targets[session] = target;
    in_effect += is_newcomer ? even_share() : current;  // until the member acts on this table
    total_increase += std::max<LoadShare>(0, target - current);
    next.shares[session] = current;
  }
  const LoadShare unallocated = std::max<LoadShare>(0, total - in_effect);
  // The sum can exceed the total after a member has left or was not counted: all shares shrink by one ratio.
  const double shrink = in_effect > total ? static_cast<double>(total) / static_cast<double>(in_effect) : 1;
  const bool grow_at_once = disabled_guards_ & Settings::kUnallocated;
  for (auto& [session, share] : next.shares) {
    const LoadShare target = targets[session];
    if (target <= share || total_increase <= unallocated || grow_at_once)
      share = target;
    else
      share += static_cast<LoadShare>(static_cast<double>(unallocated) * static_cast<double>(target - share) /
                                      static_cast<double>(total_increase));
    if (shrink < 1) {
      const auto reduced = static_cast<LoadShare>(static_cast<double>(share) * shrink);
      share = std::max(min_share(), std::min(share, reduced));
    }
  }
  if (next.shares == table.shares) return std::nullopt;
  return next;
}

}  // namespace yokestream::coordination
