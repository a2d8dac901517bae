// Queries of one order key run one at a time, in order of arrival.
//
// After an attempt that may still run, the key pauses before its next query is sent. Memory: one entry a
// query of an ordered class, one record a key that was ever used.
#pragma once

#include <deque>
#include <map>

#include "query.h"

namespace yokestream::policy {

class OrderedKeys {
 public:
  void append(OrderKey key, QueryId query);
  void remove(OrderKey key, QueryId query);
  // Nothing of this key is sent for the first time before `until`.
  void pause(OrderKey key, Time until);
  // Whether the query is at the head of its key. Queries of other classes always are.
  bool is_next(const Query& query, const ClassSettings& query_class, Time now) const;

 private:
  struct Line {
    std::deque<QueryId> queries;
    Time paused_until = Time::min();
  };
  std::map<OrderKey, Line> lines_;
};

}  // namespace yokestream::policy
