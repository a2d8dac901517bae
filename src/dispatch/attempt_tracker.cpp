// AttemptTracker: cancelling, abandoning and ending attempts, and changes while they are in flight.
#include "dispatch/attempt_tracker.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

// Failure: a cancel and the next attempt are sent on different connections, so the cancel may arrive later.
// Symptom: two attempts of one request run at the same time. Guard: the next attempt waits until the engine
// has confirmed that it read the cancel. If nothing is received on the connection within this timeout, the
// connection is closed, which ends all attempts on it.
constexpr Duration kCancelConfirmationTimeout = std::chrono::milliseconds(1000);

Duration duration_from_ms(double ms) {
  return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, 1e12) * 1e6));
}

}  // namespace

void AttemptTracker::abandon(QueryId query, Request& request, Outcome outcome) {
  Attempt& attempt = *request.attempt;
  const std::string& request_id = request.received.request_id;
  const bool unwritten = withdraw(attempt);
  if (attempt.phase == AttemptPhase::fetching)
    deps_.engines.release_result(attempt.connection, request_id);  // the query ran: only pages are dropped
  else if (!unwritten && attempt.phase != AttemptPhase::cancelling)
    deps_.engines.cancel(attempt.connection, request_id);
  end(query, request, outcome);
}

// Failure: the decision module may not cancel attempts. Symptom: the request of a client that has gone is
// sent once its connection is established. Guard: an attempt of which nothing has been written is withdrawn
// here.
void AttemptTracker::abandon_request(QueryId query) {
  deps_.responder.abandon(query);
  Request* request = deps_.requests.find(query);
  if (request && request->attempt && withdraw(*request->attempt)) end(query, *request, Outcome::never_sent);
}

void AttemptTracker::end(QueryId query, Request& request, Outcome outcome) {
  const Time now = deps_.clock.now();
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  deps_.connections.remove_request(now, attempt.connection, request.received.request_id);
  deps_.stages.on_attempt_ended(query);
  policy::AttemptEnded ended;
  ended.query = query;
  ended.attempt = attempt.number;
  ended.engine.name = attempt.engine_uid;
  ended.outcome = outcome;
  ended.elapsed = outcome == Outcome::served ? attempt.elapsed : now - attempt.sent_at;
  ended.query_finished = request.answered;
  ended.load_report = attempt.response.load_report;
  if (outcome == Outcome::served && attempt.response.work_ms) {
    ended.work = duration_from_ms(*attempt.response.work_ms);
    ended.memory_mb = attempt.response.memory_mb;
  }
  request.stage_outcome.executed |=
      outcome != Outcome::never_sent && outcome != Outcome::unreachable && outcome != Outcome::shed;
  if (request.stage_outcome.executed && !may_run_twice(request)) deps_.requests.remember_executed(request);
  if (outcome == Outcome::served) request.stage_outcome.latency = now - request.submitted_at;
  if (ended.work) request.stage_outcome.measured_work_s = std::chrono::duration<double>(*ended.work).count();
  deps_.policy_events.push(std::move(ended));
  deps_.requests.forget_if_done(query);
}

bool AttemptTracker::may_run_twice(const Request& request) const {
  const auto class_index = static_cast<std::size_t>(request.received.query_class);
  return deps_.config.settings.classes[class_index].idempotency == policy::Idempotency::idempotent;
}

// Returns true if nothing of the attempt was written, and nothing will be.
bool AttemptTracker::withdraw(const Attempt& attempt) {
  return attempt.phase == AttemptPhase::connecting || deps_.engines.withdraw(attempt.connection, attempt.tag);
}

bool AttemptTracker::is_excluded_by_route(const Request& request, const std::string& engine_uid) const {
  return deps_.routes.excludes(deps_.routes.route_of(deps_.clock.now(), request.received), engine_uid);
}

// Failure: a request is still queued for an engine that starts to drain. Symptom: it is written late, and the
// engine terminates before it finishes. Guard: it is withdrawn as soon as the engine is no longer up.
void AttemptTracker::withdraw_from_unavailable() {
  std::vector<QueryId> affected;
  for (const auto& [query, request] : deps_.requests) {
    if (request.attempt && !deps_.directory.find_available(request.attempt->engine_uid))
      affected.push_back(query);
  }
  for (const QueryId query : affected) {
    Request& request = deps_.requests.at(query);
    if (withdraw(*request.attempt)) end(query, request, Outcome::never_sent);
  }
}

void AttemptTracker::enforce_routes() {
  if (!deps_.routes.enabled()) return;
  std::vector<QueryId> excluded;
  for (auto& [query, request] : deps_.requests) {
    const routing::Route route = deps_.routes.route_of(deps_.clock.now(), request.received);
    if (request.attempt && deps_.routes.excludes(route, request.attempt->engine_uid))
      excluded.push_back(query);
    auto eligible = RouteGuard::eligible_engines(route);
    if (request.answered || request.eligible_engines == eligible) continue;
    request.eligible_engines = std::move(eligible);
    deps_.policy_events.push(policy::EligibilityChanged{query, request.eligible_engines});
  }
  for (const QueryId query : excluded) {
    Request& request = deps_.requests.at(query);
    if (withdraw(*request.attempt)) end(query, request, Outcome::never_sent);
  }
}

bool AttemptTracker::conforms_to_routes() const {
  const RequestTable& requests = deps_.requests;
  return std::none_of(requests.begin(), requests.end(), [this](const auto& entry) {
    const Request& request = entry.second;
    return request.attempt && is_excluded_by_route(request, request.attempt->engine_uid);
  });
}

// The client must be answered now, so its attempt is abandoned. The decision module then determines the final
// answer.
void AttemptTracker::handle(const ResponseDeadline& deadline) {
  Request& request = deps_.requests.at(deadline.query);
  request.response_deadline_timer = deps_.timers.none();
  if (request.attempt) abandon(deadline.query, request, Outcome::timed_out);
}

void AttemptTracker::handle(const AttemptTimer& timer) {
  Request* request = deps_.requests.find_attempt(timer.query, timer.tag);
  if (!request) return;
  Attempt& attempt = *request->attempt;
  if (timer.outcome == Outcome::never_sent) {  // the write deadline: an unwritten attempt is not sent
    if (withdraw(attempt)) end(timer.query, *request, Outcome::never_sent);
    return;
  }
  if (timer.outcome == Outcome::timed_out) return abandon(timer.query, *request, Outcome::timed_out);
  const Time now = deps_.clock.now();
  if (deps_.connections.find(attempt.connection)->last_activity > timer.scheduled_at) {
    // The engine is only slow: closing the connection would end all attempts on it.
    deps_.timers.schedule(now + kCancelConfirmationTimeout,
                          AttemptTimer{timer.query, timer.tag, timer.outcome, now});
    return;
  }
  close_connection(attempt.connection, "cancel not confirmed");
}

void AttemptTracker::handle(const policy::Cancel& cancel) {
  Request* request = deps_.requests.find(cancel.query);
  if (!request || !request->attempt) return;
  Attempt& attempt = *request->attempt;
  if (attempt.number != cancel.attempt || attempt.phase == AttemptPhase::cancelling) return;
  if (attempt.phase == AttemptPhase::fetching) {  // the query has run, only its pages are missing
    if (request->answered) abandon(cancel.query, *request, Outcome::cancelled);
    return;
  }
  if (withdraw(attempt)) return end(cancel.query, *request, Outcome::never_sent);
  if (request->answered) return abandon(cancel.query, *request, Outcome::cancelled);
  attempt.phase = AttemptPhase::cancelling;
  deps_.engines.cancel(attempt.connection, request->received.request_id);
  deps_.engines.ping(attempt.connection, cancel_confirmation_tag(attempt.tag));
  const Time now = deps_.clock.now();
  deps_.timers.schedule(now + kCancelConfirmationTimeout,
                        AttemptTimer{cancel.query, attempt.tag, Outcome::reset, now});
}

void AttemptTracker::handle(const policy::SetExecutionTerms& terms) {
  Request* request = deps_.requests.find(terms.query);
  if (!request) return;
  const bool changed = std::exchange(request->requested_priority, terms.priority) != terms.priority;
  if (!request->attempt || !changed) return;
  const auto band = deps_.stages.on_priority_requested(deps_.clock.now(), terms.query, terms.priority);
  if (band) deps_.engines.set_priority(request->attempt->connection, request->received.request_id, *band);
}

void AttemptTracker::send_band_changes() {
  while (const auto change = deps_.stages.next_band_change(deps_.clock.now())) {
    const Request* request = deps_.requests.find(change->query);
    if (!request || !request->attempt || request->attempt->phase != AttemptPhase::in_flight) continue;
    deps_.engines.set_priority(request->attempt->connection, request->received.request_id, change->priority);
  }
}

}  // namespace yokestream::dispatch
