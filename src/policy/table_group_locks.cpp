#include "table_group_locks.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

// A lock this long past its expected end is dropped: its release was lost.
constexpr Duration kMaxOverdue = std::chrono::milliseconds(3000);
// Assumed remaining time of a lock that is past its expected end.
constexpr double kOverdueRemainingSeconds = 0.2;

}  // namespace

void TableGroupLocks::acquire(TableGroupId table_group, LockHolder holder, Time expected_end) {
  locks_.emplace(wire_id(table_group), std::pair(holder, expected_end));
}

void TableGroupLocks::release(LockHolder holder) {
  const auto it = std::find_if(locks_.begin(), locks_.end(),
                               [&](const auto& lock) { return lock.second.first == holder; });
  if (it != locks_.end()) locks_.erase(it);
}

void TableGroupLocks::expire(Time now) {
  std::erase_if(locks_, [&](const auto& lock) { return now > lock.second.second + kMaxOverdue; });
}

double TableGroupLocks::remaining_s(TableGroupId table_group, Time now) const {
  double remaining = 0;
  const auto [from, to] = locks_.equal_range(wire_id(table_group));
  for (auto it = from; it != to; ++it)
    remaining = std::max(remaining, std::max(kOverdueRemainingSeconds, to_seconds(it->second.second - now)));
  return remaining;
}

}  // namespace yokestream::policy
