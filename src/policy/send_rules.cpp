#include "send_rules.h"

#include <algorithm>

namespace yokestream::policy {

bool SendRules::is_permitted(const Query& query, const EngineEntry& entry) const {
  const auto& query_class = class_of(query);
  const auto allows = [](const auto& list, auto value) {
    return list.empty() || std::find(list.begin(), list.end(), value) != list.end();
  };
  const auto& eligible = query.request.eligible_engines;
  if (eligible && (entry.slot >= kMaxEngineSlots || !(*eligible)[entry.slot])) return false;
  return allows(query_class.allowed_zones, entry.zone) && allows(query_class.allowed_kinds, entry.kind);
}

Duration SendRules::valid_for(const Query& query, Time now) const {
  const auto& query_class = class_of(query);
  if (query_class.idempotency != Idempotency::keyed || !query.may_run_since) return Duration{};
  return query_class.deduplication_window - kTickInterval - (now - *query.may_run_since);
}

bool SendRules::deduplicates(const Query& query, const Engine& engine, Time now) const {
  if (valid_for(query, now) <= Duration{}) return false;
  const auto& query_class = class_of(query);
  const Engine* first = engines_.find(query.may_run_on);
  if (!first) return false;
  const auto scope = query_class.deduplication_scope;
  if (scope == DeduplicationScope::zone) return first->entry.zone == engine.entry.zone;
  if (scope == DeduplicationScope::cell) return first->entry.cell == engine.entry.cell;
  return true;
}

bool SendRules::may_send(const Query& query, const Engine& engine, double work_s, double manager_count,
                         Time now) const {
  const auto& query_class = class_of(query);
  if (query.finished || query.streaming || query.attempts_in_flight > 0) return false;
  if (query.attempts.size() >= settings_.max_attempts) return false;
  if (now >= query.deadline || !engine.is_up()) return false;
  if (!is_permitted(query, engine.entry)) return false;
  if (query_class.idempotency == Idempotency::non_idempotent && query.may_have_run) return false;
  if (query_class.idempotency == Idempotency::keyed && query.may_run_since &&
      !deduplicates(query, engine, now))
    return false;
  if (!is_next_for_order_key(query, now)) return false;
  if (!query.attempts.empty() && !retries_.allows_retry(now)) return false;
  return slow_start_.allows_send(engine.slow_start, now, work_s, engine.cores, manager_count);
}

bool SendRules::is_next_for_order_key(const Query& query, Time now) const {
  return keys_.is_next(query, class_of(query), now);
}

bool SendRules::may_reject(const Query& query) const {
  const auto& query_class = class_of(query);
  if (!query.may_have_run || query_class.idempotency == Idempotency::idempotent) return true;
  return query_class.idempotency == Idempotency::keyed &&
         query_class.deduplication_scope == DeduplicationScope::everywhere;
}

bool SendRules::out_of_attempts(const Query& query, Time now) const {
  const auto& query_class = class_of(query);
  if (query.attempts.size() >= settings_.max_attempts) return true;
  if (!query.may_have_run || query_class.idempotency == Idempotency::idempotent) return false;
  return query_class.idempotency == Idempotency::non_idempotent ||
         now - *query.may_run_since >= query_class.deduplication_window - kTickInterval;
}

bool SendRules::may_run_again(const Query& query, const Attempt& attempt, Time now) const {
  const auto& query_class = class_of(query);
  if (query_class.idempotency == Idempotency::idempotent) return true;
  return query_class.idempotency == Idempotency::keyed &&
         now - attempt.sent < query_class.deduplication_window / 2;
}

}  // namespace yokestream::policy
