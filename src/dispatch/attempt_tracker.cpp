// AttemptTracker: how an attempt ends from this side, and what changes while it is in flight.
#include "dispatch/attempt_tracker.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

// Failure: a cancel and the next send leave on two connections and may overtake each other. Symptom: two
// attempts of one request run at once. Guard: the next send waits until the engine has confirmed that it read
// the cancel; where nothing at all comes meanwhile, the connection is closed, which gives up all that is open
// on it.
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
    use_.engines.release_result(attempt.connection, request_id);  // it ran: only its pages are given up
  else if (!unwritten && attempt.phase != AttemptPhase::cancelling)
    use_.engines.cancel(attempt.connection, request_id);
  end(query, request, outcome);
}

void AttemptTracker::end(QueryId query, Request& request, Outcome outcome) {
  const Time now = use_.clock.now();
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  use_.connections.remove_request(now, attempt.connection, request.received.request_id);
  use_.stages.on_attempt_ended(query);
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
  if (outcome == Outcome::served) request.stage_outcome.latency = now - request.submitted_at;
  if (ended.work) request.stage_outcome.measured_work_s = std::chrono::duration<double>(*ended.work).count();
  use_.policy_events.push(std::move(ended));
  use_.requests.forget_if_done(query);
}

// Nothing of it has left, and nothing will.
bool AttemptTracker::withdraw(const Attempt& attempt) {
  return attempt.phase == AttemptPhase::connecting || use_.engines.withdraw(attempt.connection, attempt.tag);
}

bool AttemptTracker::is_barred(const Request& request, const std::string& engine_uid) const {
  return use_.routes.bars(use_.routes.route_of(use_.clock.now(), request.received), engine_uid);
}

// Failure: a request is still queued for an engine that began to drain. Symptom: it is written late, and the
// engine's end cuts it off. Guard: it is withdrawn as soon as the engine is no longer up.
void AttemptTracker::withdraw_from_unavailable() {
  std::vector<QueryId> affected;
  for (const auto& [query, request] : use_.requests) {
    if (request.attempt && !use_.directory.find_available(request.attempt->engine_uid))
      affected.push_back(query);
  }
  for (const QueryId query : affected) {
    Request& request = use_.requests.at(query);
    if (withdraw(*request.attempt)) end(query, request, Outcome::never_sent);
  }
}

void AttemptTracker::enforce_routes() {
  if (!use_.routes.enabled()) return;
  std::vector<QueryId> barred;
  for (auto& [query, request] : use_.requests) {
    const routing::Route route = use_.routes.route_of(use_.clock.now(), request.received);
    if (request.attempt && use_.routes.bars(route, request.attempt->engine_uid)) barred.push_back(query);
    auto eligible = RouteGuard::eligible_engines(route);
    if (request.answered || request.eligible_engines == eligible) continue;
    request.eligible_engines = std::move(eligible);
    use_.policy_events.push(policy::EligibilityChanged{query, request.eligible_engines});
  }
  for (const QueryId query : barred) {
    Request& request = use_.requests.at(query);
    if (withdraw(*request.attempt)) end(query, request, Outcome::never_sent);
  }
}

bool AttemptTracker::conforms_to_routes() const {
  const RequestTable& requests = use_.requests;
  return std::none_of(requests.begin(), requests.end(), [this](const auto& entry) {
    const Request& request = entry.second;
    return request.attempt && is_barred(request, request.attempt->engine_uid);
  });
}

// The attempt's wait ends with the client's; the decision module then words the final answer.
void AttemptTracker::handle(const ResponseDeadline& deadline) {
  Request& request = use_.requests.at(deadline.query);
  request.response_deadline = use_.timers.none();
  if (request.attempt) abandon(deadline.query, request, Outcome::timed_out);
}

void AttemptTracker::handle(const AttemptTimer& timer) {
  Request* request = use_.requests.find_attempt(timer.query, timer.tag);
  if (!request) return;
  Attempt& attempt = *request->attempt;
  if (timer.outcome == Outcome::never_sent) {  // its lease is over: what has not left never will
    if (withdraw(attempt)) end(timer.query, *request, Outcome::never_sent);
    return;
  }
  if (timer.outcome == Outcome::timed_out) return abandon(timer.query, *request, Outcome::timed_out);
  const Time now = use_.clock.now();
  if (use_.connections.find(attempt.connection)->last_activity > timer.scheduled_at) {
    // The engine is only slow: closing the connection would cost all that runs there.
    use_.timers.schedule(now + kCancelConfirmationTimeout,
                         AttemptTimer{timer.query, timer.tag, timer.outcome, now});
    return;
  }
  close_connection(attempt.connection, "cancel not confirmed");
}

void AttemptTracker::handle(const policy::Cancel& cancel) {
  Request* request = use_.requests.find(cancel.query);
  if (!request || !request->attempt) return;
  Attempt& attempt = *request->attempt;
  if (attempt.number != cancel.attempt || attempt.phase == AttemptPhase::cancelling) return;
  if (attempt.phase == AttemptPhase::fetching) {  // it has run, and only its pages are on the way
    if (request->answered) abandon(cancel.query, *request, Outcome::cancelled);
    return;
  }
  if (withdraw(attempt)) return end(cancel.query, *request, Outcome::never_sent);
  if (request->answered) return abandon(cancel.query, *request, Outcome::cancelled);
  attempt.phase = AttemptPhase::cancelling;
  use_.engines.cancel(attempt.connection, request->received.request_id);
  use_.engines.ping(attempt.connection, cancel_confirmation_tag(attempt.tag));
  const Time now = use_.clock.now();
  use_.timers.schedule(now + kCancelConfirmationTimeout,
                       AttemptTimer{cancel.query, attempt.tag, Outcome::reset, now});
}

void AttemptTracker::handle(const policy::SetExecutionTerms& terms) {
  Request* request = use_.requests.find(terms.query);
  if (!request) return;
  const bool changed = std::exchange(request->requested_priority, terms.priority) != terms.priority;
  if (!request->attempt || !changed) return;
  const auto band = use_.stages.on_priority_requested(use_.clock.now(), terms.query, terms.priority);
  if (band) use_.engines.set_priority(request->attempt->connection, request->received.request_id, *band);
}

void AttemptTracker::send_band_changes() {
  while (const auto change = use_.stages.next_band_change(use_.clock.now())) {
    const Request* request = use_.requests.find(change->query);
    if (!request || !request->attempt || request->attempt->phase != AttemptPhase::in_flight) continue;
    use_.engines.set_priority(request->attempt->connection, request->received.request_id, change->band);
  }
}

}  // namespace yokestream::dispatch
