#include "table_group_locks.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

constexpr Duration kLostReleaseAfter = std::chrono::milliseconds(3000);  // past the expected end
constexpr double kExpiredRemainingSeconds = 0.2;  // presumed of a lock past its expected end

}  // namespace

void TableGroupLocks::acquire(TableGroupId tables, LockHolder holder, Time expected_end) {
  locks_.emplace(wire_id(tables), std::pair(holder, expected_end));
}

void TableGroupLocks::release(LockHolder holder) {
  const auto it = std::find_if(locks_.begin(), locks_.end(),
                               [&](const auto& lock) { return lock.second.first == holder; });
  if (it != locks_.end()) locks_.erase(it);
}

void TableGroupLocks::expire(Time now) {
  std::erase_if(locks_, [&](const auto& lock) { return now > lock.second.second + kLostReleaseAfter; });
}

double TableGroupLocks::remaining_s(TableGroupId tables, Time now) const {
  double remaining = 0;
  const auto [from, to] = locks_.equal_range(wire_id(tables));
  for (auto it = from; it != to; ++it)
    remaining = std::max(remaining, std::max(kExpiredRemainingSeconds, to_seconds(it->second.second - now)));
  return remaining;
}

}  // namespace yokestream::policy
