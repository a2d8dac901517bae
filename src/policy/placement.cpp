// The admission decision: sends, rejects or queues a query.
#include <algorithm>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

// Sent to clients whose queries are rejected for their cost or their quota.
constexpr double kCostRetryAfterSeconds = 1.0;
constexpr double kMinRetryAfterSeconds = 0.05;
// Margin kept under pressure, in mean errors of the estimate.
constexpr double kMarginMeanErrors = 1.3;
constexpr double kMinAnnouncedSeconds = 1e-3;
constexpr int kFinalAnswerTicks = 2;  // a queued query is answered this many ticks before its deadline

// Priorities that are sent to engines, by the value per second of work relative to the mean.
constexpr std::uint32_t kHighPriority = 3;
constexpr std::uint32_t kMediumPriority = 2;
constexpr std::uint32_t kLowPriority = 1;
constexpr double kHighPriorityMinValue = 1;
constexpr double kMediumPriorityMinValue = 0.1;

}  // namespace

// Places queued queries by deadline. Nothing is sent once a query has to wait for capacity, but on a tick the
// rest of the queue is still checked, to reject queries that can no longer be answered in time.
void AdmissionController::Impl::place_queued(bool on_tick) {
  bool blocked = stall_.is_recovering(now_, 1);
  const bool check_all = on_tick || blocked;
  const std::vector<QueryId> order = queue_.by_deadline();
  for (const QueryId id : order) {
    if (place(queries_.at(id), !blocked) == Placement::queue_blocked) blocked = true;
    if (blocked && !check_all) break;
  }
  for (const QueryId id : order) erase_if_finished(id);
}

AdmissionController::Impl::Placement AdmissionController::Impl::place(Query& query, bool may_send) {
  if (!rules_.is_next_for_order_key(query, now_) && now_ + kTickInterval < query.deadline)
    return Placement::queue_continues;
  if (threshold_.rejects(workload_.cost_per_value(query)) && !rules_.out_of_attempts(query, now_)) {
    reject(query, kCostRetryAfterSeconds);
    return Placement::queue_continues;
  }
  if (may_send) {
    const auto plan = selector_.plan_probes(query, now_);
    for (Engine* engine : plan.targets) send_probe(*engine);
    if (plan.wait) return Placement::queue_continues;
  }
  const bool pool_has_capacity =
      bound_.pool_has_capacity(running_threads_, class_of(query).threads, congestion_.congestion());
  const EngineChoice choice = selector_.choose(query, pool_has_capacity, now_);
  if (query.over_quota && choice.any_permitted && !choice.engine) {
    reject(query, kCostRetryAfterSeconds);
    return Placement::queue_continues;
  }
  return place_by_choice(query, choice, may_send);
}

AdmissionController::Impl::Placement AdmissionController::Impl::place_by_choice(Query& query,
                                                                                const EngineChoice& choice,
                                                                                bool may_send) {
  const bool wins = wins_capacity_draw(query, choice);
  if (choice.engine && may_send && wins) {
    const bool under_pressure =
        query.waited_for_capacity || capacity_.is_under_pressure(*choice.engine, now_);
    const double limit_s = time_limit_s(query, *choice.engine, under_pressure);
    if (choice.estimate_s <= limit_s)
      send(query, *choice.engine, choice.estimate_s);
    else
      reject(query, choice.estimate_s - limit_s);
    return Placement::queue_continues;
  }
  if (now_ + kFinalAnswerTicks * kTickInterval >= query.deadline || rules_.out_of_attempts(query, now_)) {
    reject(query, 0);
    return Placement::queue_continues;
  }
  const double excess_s =
      choice.fastest ? choice.fastest_estimate_s - time_limit_s(query, *choice.fastest, true) : 0;
  if (excess_s > 0) {
    reject(query, excess_s);
    return Placement::queue_continues;
  }
  query.waited_for_capacity = query.waited_for_capacity || choice.any_permitted;
  return choice.any_permitted ? Placement::queue_blocked : Placement::queue_continues;
}

// Failure: many managers see the same free capacity and fill it at the same time. Symptom: an engine goes
// from idle to overloaded at once. Guard: if this manager's share of the free capacity is less than the
// query's threads, the query is sent only with that probability and drawn again on the next tick, when the
// sends of the others are known. A freshly probed engine needs no draw, because few other managers see its
// capacity.
bool AdmissionController::Impl::wins_capacity_draw(const Query& query, const EngineChoice& choice) {
  if (!peer_load_.is_observable()) return true;
  if (choice.engine && selector_.was_just_probed(*choice.engine)) return true;
  return random_.next() * class_of(query).threads < choice.free_threads * load_share_.value();
}

// Failure: in a backlog every query is sent as late as its estimate allows. Symptom: half of them end just
// late, so their work is wasted. Guard: under pressure a query is sent only if it is predicted to end within
// its objective, less the usual error of the estimate. The error is that of the engine, so that one slow
// engine does not make all queries be rejected.
double AdmissionController::Impl::time_limit_s(const Query& query, const Engine& engine,
                                               bool under_pressure) const {
  if (!under_pressure) return to_seconds(query.deadline - now_);
  if (query.over_quota) return 0;
  const double mean_error = engine.latency.mean_error[index_of(query.request.query_class)];
  const double margin_s = kMarginMeanErrors * mean_error * capacity_.unloaded_s(query);
  return to_seconds(std::min(query.objective, query.deadline) - now_) - margin_s;
}

void AdmissionController::Impl::send(Query& query, Engine& engine, double estimate_s) {
  queue_.dequeue(query);
  const auto& query_class = class_of(query);
  Attempt attempt;
  attempt.engine = engine.entry.engine.name;
  attempt.sent = now_;
  engine.own.queries_by_class[index_of(query.request.query_class)] += 1;
  engine.own.threads += query_class.threads;
  running_threads_ += query_class.threads;
  engine.own.queries.insert(query.request.query);
  attempt.running_mix = engine.own.queries_by_class;
  attempt.unloaded_s = capacity_.unloaded_s(query);
  attempt.estimate_s = estimate_s;
  attempt.memory_grant_mb = capacity_.memory_grant_mb(query, engine);
  engine.own.memory_mb += attempt.memory_grant_mb;
  if (settings_.memory_grants || settings_.query_priorities) {
    const double grant_mb = settings_.memory_grants ? attempt.memory_grant_mb : 0;
    const std::uint32_t priority = settings_.query_priorities ? priority_of(query) : kLowPriority;
    emit(SetExecutionTerms{query.request.query, grant_mb, priority});
  }
  if (!query.attempts.empty()) retries_.record_retry(now_);
  slow_start_.on_send(engine.slow_start, now_);
  outliers_.on_recovery_probe(engine.outlier, now_);
  attempt.waited_for_table_group = selector_.lock_wait_s(query, engine, now_) > 0;
  if (query_class.locks_table_group)
    engine.locks.acquire(query.request.table_group, index_of(query.request.query),
                         now_ + from_seconds(estimate_s));
  announce_begin(query, attempt, engine);
  query.attempts.push_back(std::move(attempt));
  ++query.attempts_in_flight;
  emit(Send{query.request.query, engine.entry.engine, Duration{}, rules_.valid_for(query, now_)});
}

void AdmissionController::Impl::announce_begin(const Query& query, Attempt& attempt, const Engine& engine) {
  attempt.announced = announcements_.announces(query.work_s, workload_.mean_work_s());
  if (!attempt.announced) return;
  PeerQueryStarted message;
  message.engine_hash = engine_hash(engine.entry.engine.name);
  message.class_index = index_of(query.request.query_class);
  message.memory_mb = attempt.memory_grant_mb;
  message.remaining_s = std::max(kMinAnnouncedSeconds, attempt.estimate_s);
  if (class_of(query).locks_table_group) message.locked_tables = query.request.table_group;
  emit(BroadcastToPeers{encode(message)});
}

std::uint32_t AdmissionController::Impl::priority_of(const Query& query) const {
  const double value = workload_.relative_value(query);
  if (class_of(query).locks_table_group || value >= kHighPriorityMinValue) return kHighPriority;
  return value >= kMediumPriorityMinValue ? kMediumPriority : kLowPriority;
}

// Answers the query at once. `retry_after_s`: suggested delay before the client retries. A query that may
// have run and must not run twice fails instead, since a rejection promises that a retry is safe.
void AdmissionController::Impl::reject(Query& query, double retry_after_s) {
  queue_.dequeue(query);
  query.finished = true;
  if (!rules_.may_reject(query)) return emit(Fail{query.request.query});
  Duration retry_after{};
  if (settings_.may_send_retry_after)
    retry_after =
        std::min(settings_.max_retry_after, from_seconds(std::max(kMinRetryAfterSeconds, retry_after_s)));
  emit(Reject{query.request.query, retry_after});
}

}  // namespace yokestream::policy
