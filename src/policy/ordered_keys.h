// Makes queries with the same order key run one at a time, in order of arrival.
//
// After an attempt that may still be running, the key is paused before its next query is sent. Memory: one
// entry per query of an ordered class, and one record per key ever used.
#pragma once

#include <deque>
#include <map>

#include "query.h"

namespace yokestream::policy {

class OrderedKeys {
 public:
  void append(OrderKey key, QueryId query);
  void remove(OrderKey key, QueryId query);
  // Delays the first send of further queries with this key until `until`.
  void pause(OrderKey key, Time until);
  // Whether the query is the first of its key and the key is not paused; a pause does not delay retries.
  // Always true for unordered classes.
  bool is_next(const Query& query, const ClassSettings& query_class, Time now) const;

 private:
  struct KeyQueue {
    std::deque<QueryId> queries;
    Time paused_until = Time::min();
  };
  std::map<OrderKey, KeyQueue> queues_;
};

}  // namespace yokestream::policy
