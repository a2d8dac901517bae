#include "dispatch/request_admission.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using metrics::RejectionCause;
using policy::QueryId;
using std::chrono::milliseconds;

constexpr Duration kWatchdogDelayAfterDeadline = milliseconds(8);
// Failure: the dispatcher is busy when a deadline expires. Symptom: the answer is late. Guard: a running
// attempt is abandoned this long before the deadline. The decision module then determines the answer; in the
// last 20 ms before the deadline it starts no further attempt.
constexpr Duration kResponseMargin = milliseconds(15);
// Failure: the dispatcher or a writer thread is not scheduled for a moment. Symptom: the answer is late.
// Guard: every deadline is brought forward by this margin, or by this fraction of the remaining time if that
// is less.
constexpr Duration kDeadlineMargin = milliseconds(60);
constexpr int kDeadlineMarginDivisor = 16;
// What an open request holds besides its statement: its records here and in the decision module.
constexpr std::size_t kRequestOverheadBytes = 1024;
constexpr Duration kOverloadedRetryAfter = milliseconds(500);  // sent when this manager itself is overloaded

Duration duration_from_s(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }

}  // namespace

void RequestAdmission::handle(RequestReceived request) {
  if (answer_immediately(request)) return;
  Reservation memory;
  if (!deps_.budget.try_reserve(memory, request.statement.size() + kRequestOverheadBytes))
    return deps_.responder.reject(request, kOverloadedRetryAfter, RejectionCause::memory);
  apply_deadline_margin(request);
  const QueryId query = deps_.requests.next_query_id();
  throttle::Admission throttle_verdict;
  if (deps_.stages.has_throttle() && reject_by_throttle(query, request, &throttle_verdict)) return;
  deps_.sessions.on_request_opened(deps_.clock.now(), request.session);
  Request entry;
  entry.response_deadline_timer =
      deps_.timers.schedule(request.deadline - kResponseMargin, ResponseDeadline{query});
  entry.watchdog_timer =
      deps_.timers.schedule(request.deadline + kWatchdogDelayAfterDeadline, DeadlineWatchdog{query});
  entry.received = std::move(request);
  entry.memory_reservation = std::move(memory);
  deps_.requests.insert(query, std::move(entry));
  if (throttle_verdict.decision == throttle::Decision::admit)
    on_throttle_passed(query, throttle_verdict.cost);
}

// Returns true if the request was answered, or its connection closed, without queueing it.
bool RequestAdmission::answer_immediately(const RequestReceived& request) {
  const Time now = deps_.clock.now();
  if (deps_.requests.find_open_call(request.session, request.call)) {
    deps_.log.write("client connection closed: cause=\"call id of an open request reused\"");
    deps_.clients.close(request.session);
    return true;
  }
  // Failure: a client sends requests that no engine can run. Symptom: engines are classified as outliers.
  // Guard: requests of a suspect client fail without being sent to an engine.
  if (deps_.sessions.is_suspect(now, request.session)) {
    deps_.responder.fail(request, "Unusable");
    return true;
  }
  // Failure: engines identify requests by the clients' ids only, and two requests use the same id. Symptom:
  // an answer reaches the wrong client. Guard: an id can be in use only once.
  if (deps_.requests.uses_request_id(request.request_id)) {
    deps_.responder.fail(request, "bad field req: in use");
    return true;
  }
  if (deps_.requests.was_executed(request.request_id)) {
    deps_.responder.fail(request, "bad field req: executed before");
    return true;
  }
  if (const auto cause = reached_limit(request)) {
    deps_.responder.reject(request, kOverloadedRetryAfter, *cause);
    return true;
  }
  if (request.deadline <= now) {
    deps_.responder.fail(request, "Late");
    return true;
  }
  return false;
}

// Returns the limit that keeps the request from being opened, if any.
std::optional<RejectionCause> RequestAdmission::reached_limit(const RequestReceived& request) const {
  if (!deps_.service.accepts_requests(deps_.clock.now())) return RejectionCause::not_serving;
  const std::size_t max_open = deps_.config.real.open_cap;
  if (max_open > 0 && deps_.requests.open_call_count() >= max_open) return RejectionCause::open_requests;
  if (!deps_.sessions.may_open_request(request.session)) return RejectionCause::client_limit;
  return std::nullopt;
}

void RequestAdmission::apply_deadline_margin(RequestReceived& request) const {
  const Duration time_left = request.deadline - deps_.clock.now();
  request.deadline -= std::min(kDeadlineMargin, time_left / kDeadlineMarginDivisor);
  request.deadline = std::min(request.deadline, deps_.service.shutdown_deadline());
}

bool RequestAdmission::reject_by_throttle(QueryId query, const RequestReceived& request,
                                          throttle::Admission* throttle_verdict) {
  *throttle_verdict = deps_.stages.offer_to_throttle(deps_.clock.now(), query, request,
                                                     deps_.sessions.origin(request.session));
  if (throttle_verdict->decision != throttle::Decision::reject) return false;
  deps_.responder.reject(request, throttle_verdict->retry_after, RejectionCause::throttle);
  return true;
}

void RequestAdmission::on_throttle_passed(QueryId query, double cost_s) {
  if (!deps_.stages.has_scheduler()) return submit_to_policy(query, cost_s);
  const RequestReceived& request = deps_.requests.at(query).received;
  const scheduler::Verdict verdict =
      deps_.stages.offer_to_scheduler(deps_.clock.now(), query, request, cost_s);
  if (verdict.decision == scheduler::Decision::reject)
    return deps_.responder.reject_unsubmitted(query, verdict.retry_after, RejectionCause::scheduler);
  deps_.responder.attach_quote(request, verdict.wait_estimate);
  if (verdict.decision == scheduler::Decision::admit) submit_to_policy(query, verdict.cost);
}

// `cost_s`: the stages' estimate in core seconds, corrected per tenant; 0 if there is none. It replaces the
// client's estimate, so that a tenant's wrong estimates don't distort what the decision module learns about a
// class.
void RequestAdmission::submit_to_policy(QueryId query, double cost_s) {
  const Time now = deps_.clock.now();
  Request& request = deps_.requests.at(query);
  const RequestReceived& received = request.received;
  const routing::Route route = deps_.routes.route_of(now, received);
  if (route.closed)
    return deps_.responder.reject_unsubmitted(query, kOverloadedRetryAfter, RejectionCause::route_closed);
  request.eligible_engines = RouteGuard::eligible_engines(route);
  request.submitted_at = now;
  policy::QueryArrived arrived;
  arrived.eligible_engines = request.eligible_engines;
  arrived.query = query;
  arrived.query_class = received.query_class;
  arrived.tenant = received.tenant;
  arrived.table_group = received.table_group;
  arrived.memory_mb = received.memory_mb;
  arrived.work = received.work && cost_s > 0 ? duration_from_s(cost_s) : received.work;
  arrived.time_left = received.deadline - now;
  arrived.is_retry = received.is_retry;
  deps_.policy_events.push(arrived);
}

void RequestAdmission::handle(const QuoteRequested& quote) {
  const RequestReceived& request = quote.request;
  if (!deps_.stages.has_scheduler())
    return deps_.responder.fail(BadRequest{request.session, request.call, "unknown class"});
  deps_.responder.send_quote(request, deps_.stages.quote(deps_.clock.now(), request));
}

bool RequestAdmission::advance_one() { return advance_scheduler() || advance_throttle(); }

bool RequestAdmission::advance_throttle() {
  const auto moved = deps_.stages.next_from_throttle(deps_.clock.now());
  if (!moved) return false;
  if (moved->admission.decision == throttle::Decision::admit)
    on_throttle_passed(moved->query, moved->admission.cost);
  else
    deps_.responder.reject_unsubmitted(moved->query, moved->admission.retry_after, RejectionCause::throttle);
  return true;
}

bool RequestAdmission::advance_scheduler() {
  const auto moved = deps_.stages.next_from_scheduler(deps_.clock.now());
  if (!moved) return false;
  if (moved->verdict.decision == scheduler::Decision::admit)
    submit_to_policy(moved->query, moved->verdict.cost);
  else
    deps_.responder.reject_unsubmitted(moved->query, moved->verdict.retry_after, RejectionCause::scheduler);
  return true;
}

void RequestAdmission::schedule_stage_timer() {
  const Time due = deps_.stages.next_due(deps_.clock.now());
  if (due == Time::max()) return;
  if (deps_.timers.is_scheduled(stage_timer_) && stage_timer_->first <= due) return;
  deps_.timers.cancel(stage_timer_);
  stage_timer_ = deps_.timers.schedule(due, StageTimer{});
}

}  // namespace yokestream::dispatch
