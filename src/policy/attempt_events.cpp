// Handles the events of attempts: their end, their progress and the start of their response.
#include <algorithm>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

// Assumed remaining time of a table group lock whose holder is unknown: a waiting query is all that shows it.
constexpr Duration kUnknownLockRemaining = std::chrono::milliseconds(1000);

bool may_have_run(Outcome outcome) {
  return outcome != Outcome::shed && outcome != Outcome::unreachable && outcome != Outcome::never_sent;
}

}  // namespace

void AdmissionController::Impl::on(const AttemptEnded& event) {
  Query* query = find(event.query);
  Engine* engine = engines_.find(event.engine.name);
  if (!query || !engine || index_of(event.attempt) >= query->attempts.size()) return;
  Attempt& attempt = query->attempts[index_of(event.attempt)];
  if (!attempt.in_flight) return;
  attempt.in_flight = false;
  --query->attempts_in_flight;
  read_report(*engine, event.load_report);
  release_engine(*query, attempt, *engine, event.outcome);
  record_outcome(*query, attempt, *engine, event);
  if (may_have_run(event.outcome)) record_possible_execution(*query, attempt, event.outcome);
  if (event.query_finished) {
    query->finished = true;
    queue_.dequeue(*query);
  }
  if (!query->finished && query->attempts_in_flight == 0) {
    const bool no_time = now_ + kTickInterval >= query->deadline;
    if (query->streaming || rules_.out_of_attempts(*query, now_) || no_time)
      reject(*query, 0);
    else
      queue_.enqueue(*query);
  }
  erase_if_finished(event.query);
}

// An attempt that timed out and can't be cancelled keeps running on the engine, so its lock and its
// announcement to the peers stay.
void AdmissionController::Impl::release_engine(const Query& query, const Attempt& attempt, Engine& engine,
                                               Outcome outcome) {
  const auto& query_class = class_of(query);
  engine.own.queries_by_class[index_of(query.request.query_class)] -= 1;
  engine.own.threads -= query_class.threads;
  running_threads_ -= query_class.threads;
  engine.own.memory_mb -= attempt.memory_grant_mb;
  engine.own.queries.erase(query.request.query);
  if (outcome == Outcome::timed_out && !settings_.may_cancel) return;
  if (query_class.locks_table_group) engine.locks.release(index_of(query.request.query));
  announce_end(attempt, engine);
}

void AdmissionController::Impl::announce_end(const Attempt& attempt, const Engine& engine) {
  if (!attempt.announced) return;
  PeerQueryEnded message;
  message.engine_hash = engine_hash(engine.entry.engine.name);
  if (engine.peers.reported_at == now_) message.reported_queries = engine.peers.reported_queries;
  emit(BroadcastToPeers{encode(message)});
}

void AdmissionController::Impl::record_outcome(Query& query, const Attempt& attempt, Engine& engine,
                                               const AttemptEnded& event) {
  switch (event.outcome) {
    case Outcome::served:
      return record_served(query, attempt, engine, event);
    case Outcome::shed:
      congestion_.record_shed();
      bound_.record_shed(engine.concurrency, now_);
      return outliers_.record_response(engine.outlier, now_);
    case Outcome::unreachable:
      return outliers_.record_failure(engine.outlier, OutlierDetector::Failure::connection_refused, now_);
    case Outcome::error:
      outliers_.record_failure(engine.outlier, OutlierDetector::Failure::attempt_failed, now_);
      return outliers_.record_response(engine.outlier, now_);
    case Outcome::reset:
      return outliers_.record_failure(engine.outlier, OutlierDetector::Failure::attempt_failed, now_);
    case Outcome::timed_out:
      // If the engine has responded since the send, the answer is lost or late, and the engine is not at
      // fault.
      if (engine.outlier.last_response < attempt.sent)
        outliers_.record_failure(engine.outlier, OutlierDetector::Failure::attempt_failed, now_);
      return;
    case Outcome::cancelled:
    case Outcome::never_sent:
      return;
  }
}

void AdmissionController::Impl::record_served(const Query& query, const Attempt& attempt, Engine& engine,
                                              const AttemptEnded& event) {
  const std::size_t class_index = index_of(query.request.query_class);
  outliers_.record_response(engine.outlier, now_);
  outliers_.record_success(engine.outlier, attempt.sent);
  bound_.record_response(engine.concurrency);
  // Streaming and lock waits distort the elapsed time, so such attempts are not learned from.
  const bool elapsed_is_comparable = !query.streaming && !attempt.waited_for_table_group;
  if (elapsed_is_comparable && !stall_.is_recovering(now_, 1))
    learn(query, attempt, engine, to_seconds(event.elapsed));
  if (event.work && *event.work > Duration{} && query.request.work)
    workload_.observe_reported_work(class_index, *query.request.work, *event.work);
  if (!attempt.spilled) workload_.observe_sufficient_memory(class_index);
}

void AdmissionController::Impl::learn(const Query& query, const Attempt& attempt, Engine& engine,
                                      double elapsed_s) {
  const std::size_t class_index = index_of(query.request.query_class);
  const double slowdown = elapsed_s / attempt.unloaded_s * engine.slow_start.warm_fraction;
  const std::size_t kind_index = index_of(engine.entry.kind);
  LatencyEstimator::Observation observation{class_index, attempt.running_mix, slowdown, std::nullopt};
  if (kind_index < settings_.kinds.size()) observation.kind = kind_index;
  estimator_.learn(observation, engine.latency);
  congestion_.record_served(class_index, slowdown, engine.congestion, now_);
  threshold_.record_outcome();
  ConcurrencyBound::Served served;
  served.threads = settings_.classes[class_index].threads;
  served.congestion = congestion_.congestion();
  served.engine_slowdown = congestion_.engine_slowdown(engine.congestion, now_);
  served.engine_cores = engine.cores;
  served.has_queued_queries = !queue_.empty();
  bound_.record_served(served, pool(), engine.concurrency);
}

void AdmissionController::Impl::record_possible_execution(Query& query, const Attempt& attempt,
                                                          Outcome outcome) {
  query.may_have_run = true;
  if (!query.may_run_since) {
    query.may_run_since = attempt.sent;
    query.may_run_on = attempt.engine;
  }
  const bool has_ended = outcome == Outcome::served || outcome == Outcome::error;
  if (class_of(query).ordered && query.request.order_key && !has_ended)
    keys_.pause(*query.request.order_key, now_ + settings_.order_pause);
}

void AdmissionController::Impl::on(const AttemptProgress& event) {
  Query* query = find(event.query);
  Engine* engine = engines_.find(event.engine.name);
  if (!query || !engine || index_of(event.attempt) >= query->attempts.size()) return;
  Attempt& attempt = query->attempts[index_of(event.attempt)];
  outliers_.record_response(engine->outlier, now_);
  attempt.last_progress = now_;
  if (!attempt.in_flight || query->finished) return;
  if (event.kind == ProgressKind::spilling && query->request.memory_mb > 0 && !attempt.spilled) {
    attempt.spilled = true;
    if (attempt.memory_grant_mb > 0) workload_.observe_spill(index_of(query->request.query_class));
  }
  if (event.kind == ProgressKind::waiting_for_table_group && !attempt.waited_for_table_group) {
    attempt.waited_for_table_group = true;
    engine->locks.acquire(query->request.table_group, kUnknownLockHolder, now_ + kUnknownLockRemaining);
  }
  if (event.kind == ProgressKind::progress && event.value > 0 &&
      watchdog_.has_bad_plan(*query, attempt, event.value, now_))
    cancel_attempt(*query);
}

void AdmissionController::Impl::on(const ResponseStarted& event) {
  if (Query* query = find(event.query)) query->streaming = true;
  if (Engine* engine = engines_.find(event.engine.name)) outliers_.record_response(engine->outlier, now_);
}

// Cancels the last attempt only if the query may run again or has already been answered.
void AdmissionController::Impl::cancel_attempt(Query& query) {
  Attempt& attempt = query.attempts.back();
  if (!attempt.in_flight || attempt.cancelling || query.streaming) return;
  if (!rules_.may_run_again(query, attempt, now_) && !query.finished) return;
  attempt.cancelling = true;
  const auto number = static_cast<std::uint32_t>(query.attempts.size() - 1);
  emit(Cancel{query.request.query, AttemptNumber{number}});
}

}  // namespace yokestream::policy
