#include "ordered_keys.h"

#include <algorithm>

namespace yokestream::policy {

void OrderedKeys::append(OrderKey key, QueryId query) { lines_[key].queries.push_back(query); }

void OrderedKeys::remove(OrderKey key, QueryId query) {
  auto& queries = lines_.at(key).queries;
  queries.erase(std::find(queries.begin(), queries.end(), query));
}

void OrderedKeys::pause(OrderKey key, Time until) {
  Line& line = lines_.at(key);
  line.paused_until = std::max(line.paused_until, until);
}

bool OrderedKeys::is_next(const Query& query, const ClassSettings& query_class, Time now) const {
  if (!query_class.ordered || !query.request.order_key) return true;
  const Line& line = lines_.at(*query.request.order_key);
  if (line.queries.front() != query.request.query) return false;
  return now >= line.paused_until || !query.attempts.empty();
}

}  // namespace yokestream::policy
