// The table groups that running queries lock on one engine, and when the locks are expected to be released.
//
// A query that loads tables locks its table group while it runs. Other loads of that group, and queries of
// classes that wait for table groups, make no progress until it ends, even on an idle engine. Memory: one
// entry per lock.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "time_units.h"

namespace yokestream::policy {

// The holder of a lock: the id of one of this manager's queries, a peer, or an unknown query.
using LockHolder = std::uint64_t;
inline constexpr LockHolder kUnknownLockHolder = ~0ull;

class TableGroupLocks {
 public:
  void acquire(TableGroupId table_group, LockHolder holder, Time expected_end);
  // Releases one lock of this holder, if it has any.
  void release(LockHolder holder);
  // Drops locks that are long past their expected end, as the message of their release was lost.
  void expire(Time now);
  // Seconds until the last lock of the group is expected to be released; 0: the group is not locked.
  double remaining_s(TableGroupId table_group, Time now) const;

  // Messages of peers carry only 16 bits of a table group, so all comparisons use these.
  static TableGroupId wire_id(TableGroupId table_group) {
    return TableGroupId{static_cast<std::uint64_t>(table_group) & 0xffff};
  }

 private:
  std::multimap<TableGroupId, std::pair<LockHolder, Time>> locks_;
};

}  // namespace yokestream::policy
