// The rules: every send passes may_send(); what may be refused, what can never be allowed.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kQuotaSlack = 1.2;  // times the quota: this front's part of it is a guess
constexpr double kQuotaBurst = 2.0;  // seconds of quota that may come at once

}  // namespace

// Every send, first or later, passes here; nothing else keeps the rules.
bool AdmissionController::Impl::may_send(const Query& q, const Engine& e) const {
  const auto& c = cls(q);
  if (q.finished || q.streaming || q.out > 0 || q.attempts.size() >= s.max_attempts) return false;
  if (now >= q.deadline || e.entry.state != EngineState::up) return false;  // drains: at once
  if (!permitted(q.told, c, e.entry)) return false;
  if (c.idempotency == Idempotency::non_idempotent && q.may_have_run) return false;
  if (c.idempotency == Idempotency::keyed && q.may_run_since) {
    if (now - *q.may_run_since >= c.deduplication_window - kTick) return false;
    const auto first = engines.find(q.ran_on);
    if (first == engines.end()) return false;
    if (c.deduplication_scope == DeduplicationScope::zone && first->second.entry.zone != e.entry.zone)
      return false;
    if (c.deduplication_scope == DeduplicationScope::cell && first->second.entry.cell != e.entry.cell)
      return false;
  }
  if (!has_turn(q)) return false;
  if (!q.attempts.empty() && !extra_left()) return false;
  return cold_room(e, std::max(usual_work(pos(q.told.query_class)), q.work));
}

bool AdmissionController::Impl::has_turn(const Query& q) const {
  if (!cls(q).ordered || !q.told.order_key) return true;
  const auto& key = keys.at(*q.told.order_key);
  return key.line.front() == q.told.query && (now >= key.pause_until || !q.attempts.empty());
}

bool AdmissionController::Impl::extra_left() const {
  if (!s.retry_budget_enabled) return true;
  const auto within = [&](const std::deque<Time>& times, Time from) {
    return static_cast<double>(times.end() - std::lower_bound(times.begin(), times.end(), from));
  };
  const Time from = now - s.retry_budget_window;
  return within(extras, from) + 1 <=
         s.retry_budget_min_retries + s.retry_budget_ratio * within(taken, from + Duration(1));
}

bool AdmissionController::Impl::may_refuse(const Query& q) const {
  const auto& c = cls(q);
  return !q.may_have_run || c.idempotency == Idempotency::idempotent ||
         (c.idempotency == Idempotency::keyed && c.deduplication_scope == DeduplicationScope::everywhere);
}

bool AdmissionController::Impl::hopeless(const Query& q) const {  // no further attempt can ever be allowed
  const auto& c = cls(q);
  if (q.attempts.size() >= s.max_attempts) return true;
  if (!q.may_have_run || c.idempotency == Idempotency::idempotent) return false;
  return c.idempotency == Idempotency::non_idempotent ||
         now - *q.may_run_since >= c.deduplication_window - kTick;
}

// Danger: one tenant's crowd takes the engines from all, for traffic that is worth little. A bucket a
// tenant, filled at this front's part of its quota; what finds it empty is refused under pressure only.
bool AdmissionController::Impl::over_share(TenantId tenant) {
  if (pos(tenant) >= buckets.size() || s.tenants[pos(tenant)].quota_per_s <= 0 ||
      s.over_quota_weight_ratio >= 1)
    return false;
  auto& [left, at] = buckets[pos(tenant)];
  const double rate = s.tenants[pos(tenant)].quota_per_s * std::max(share, 1.0 / fronts) * kQuotaSlack;
  left = std::min(left + rate * seconds(now - at), rate * kQuotaBurst);
  at = now;
  if (left < 1) return true;
  left -= 1;
  return false;
}

}  // namespace yokestream::policy
