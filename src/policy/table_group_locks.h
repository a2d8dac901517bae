// The table groups that running queries lock on one engine, and until when that is expected.
//
// A query that loads tables holds its group while it runs. Other loads of that group, and queries of classes
// that wait for it, stand still until it ends, however idle the engine is. Memory: one entry a lock.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "time_units.h"

namespace yokestream::policy {

// Who holds a lock: an own query by its id, a peer, or a query that was never announced.
using LockHolder = std::uint64_t;
inline constexpr LockHolder kUnknownLockHolder = ~0ull;

class TableGroupLocks {
 public:
  void acquire(TableGroupId tables, LockHolder holder, Time expected_end);
  void release(LockHolder holder);  // the first lock of this holder
  // Drops locks that are long past their expected end: the word of their release was lost.
  void expire(Time now);
  // Seconds until the last lock of the group is expected to be released; 0: the group is free.
  double remaining_s(TableGroupId tables, Time now) const;

  // Peers' messages carry 16 bits of a group; groups are compared by these everywhere.
  static TableGroupId wire_id(TableGroupId tables) {
    return TableGroupId{static_cast<std::uint64_t>(tables) & 0xffff};
  }

 private:
  std::multimap<TableGroupId, std::pair<LockHolder, Time>> locks_;
};

}  // namespace yokestream::policy
