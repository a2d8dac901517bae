#include "ordered_keys.h"

#include <algorithm>

namespace yokestream::policy {

void OrderedKeys::append(OrderKey key, QueryId query) { queues_[key].queries.push_back(query); }

void OrderedKeys::remove(OrderKey key, QueryId query) {
  auto& queries = queues_.at(key).queries;
  queries.erase(std::find(queries.begin(), queries.end(), query));
}

void OrderedKeys::pause(OrderKey key, Time until) {
  KeyQueue& queue = queues_.at(key);
  queue.paused_until = std::max(queue.paused_until, until);
}

bool OrderedKeys::is_next(const Query& query, const ClassSettings& query_class, Time now) const {
  if (!query_class.ordered || !query.request.order_key) return true;
  const KeyQueue& queue = queues_.at(*query.request.order_key);
  if (queue.queries.front() != query.request.query) return false;
  return now >= queue.paused_until || !query.attempts.empty();
}

}  // namespace yokestream::policy
