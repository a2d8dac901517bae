// Queries that wait for an engine, earliest deadline first.
#pragma once

#include <set>
#include <utility>
#include <vector>

#include "query.h"

namespace yokestream::policy {

class WaitQueue {
 public:
  void enqueue(Query& query) {
    query.queued = true;
    queue_.emplace(query.deadline, query.request.query);
  }
  // Does nothing if the query is not queued.
  void dequeue(Query& query) {
    if (query.queued) queue_.erase({query.deadline, query.request.query});
    query.queued = false;
  }
  bool empty() const { return queue_.empty(); }
  std::vector<QueryId> by_deadline() const {
    std::vector<QueryId> order;
    order.reserve(queue_.size());
    for (const auto& [deadline, query] : queue_) order.push_back(query);
    return order;
  }

 private:
  std::set<std::pair<Time, QueryId>> queue_;
};

}  // namespace yokestream::policy
