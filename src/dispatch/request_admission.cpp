#include "dispatch/request_admission.h"

#include <algorithm>
#include <utility>

namespace yokestream::dispatch {
namespace {

using policy::QueryId;
using std::chrono::milliseconds;

constexpr Duration kWatchdogDelay = milliseconds(8);  // past the deadline
// Failure: the core is busy as a deadline comes. Symptom: the last answer is late. Guard: an attempt is given
// up this much earlier; the decision module words the answer, and takes 20 ms as close enough.
constexpr Duration kResponseMargin = milliseconds(15);
// Failure: the core or a writer does not run for a moment. Symptom: as above. Guard: all deadlines are kept
// this much early, or by this fraction of the time left where that is less.
constexpr Duration kDeadlineMargin = milliseconds(60);
constexpr int kDeadlineMarginDivisor = 16;
constexpr Duration kOverloadedRetryAfter = milliseconds(500);  // advice when this manager itself is full

Duration duration_from_s(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }

}  // namespace

void RequestAdmission::handle(RequestReceived request) {
  if (answered_at_once(request)) return;
  Reservation memory;
  if (!use_.budget.try_reserve(memory, request.statement.size()))
    return use_.responder.reject(request, kOverloadedRetryAfter);
  keep_deadline_margin(request);
  const QueryId query = use_.requests.next_query_id();
  throttle::Admission verdict;
  if (use_.stages.has_throttle() && rejected_by_throttle(query, request, &verdict)) return;
  use_.sessions.on_request_opened(use_.clock.now(), request.session);
  Request entry;
  entry.response_deadline = use_.timers.schedule(request.deadline - kResponseMargin, ResponseDeadline{query});
  entry.watchdog = use_.timers.schedule(request.deadline + kWatchdogDelay, DeadlineWatchdog{query});
  entry.received = std::move(request);
  entry.memory_reservation = std::move(memory);
  use_.requests.insert(query, std::move(entry));
  if (verdict.decision == throttle::Decision::admit) after_throttle(query, verdict.cost);
}

bool RequestAdmission::answered_at_once(const RequestReceived& request) {
  const Time now = use_.clock.now();
  if (use_.requests.find_open_call(request.session, request.call)) {
    use_.log.write("client connection closed: cause=\"call id of an open request used again\"");
    use_.clients.close(request.session);
    return true;
  }
  // Failure: a client's requests can be run by no engine. Symptom: engines are taken for outliers. Guard: a
  // suspect client is answered without asking an engine.
  if (use_.sessions.is_suspect(now, request.session)) {
    use_.responder.fail(request, "Unusable");
    return true;
  }
  // Failure: engines know requests by the clients' ids alone. Symptom: an answer reaches the wrong client.
  // Guard: an id is in use once.
  if (use_.requests.uses_request_id(request.request_id)) {
    use_.responder.fail(request, "bad field req: in use");
    return true;
  }
  const std::size_t max_open = use_.config.real.open_cap;
  const bool full = max_open > 0 && use_.requests.open_call_count() >= max_open;
  if (!use_.service.accepts_requests(now) || full || !use_.sessions.may_open_request(request.session)) {
    use_.responder.reject(request, kOverloadedRetryAfter);
    return true;
  }
  if (request.deadline <= now) {
    use_.responder.fail(request, "Late");
    return true;
  }
  return false;
}

void RequestAdmission::keep_deadline_margin(RequestReceived& request) const {
  const Duration time_left = request.deadline - use_.clock.now();
  request.deadline -= std::min(kDeadlineMargin, time_left / kDeadlineMarginDivisor);
  request.deadline = std::min(request.deadline, use_.service.shutdown_deadline());
}

bool RequestAdmission::rejected_by_throttle(QueryId query, const RequestReceived& request,
                                            throttle::Admission* verdict) {
  *verdict =
      use_.stages.offer_to_throttle(use_.clock.now(), query, request, use_.sessions.origin(request.session));
  if (verdict->decision != throttle::Decision::reject) return false;
  use_.responder.reject(request, verdict->retry_after);
  return true;
}

void RequestAdmission::after_throttle(QueryId query, double cost_s) {
  if (!use_.stages.has_scheduler()) return submit_to_policy(query, cost_s);
  const RequestReceived& request = use_.requests.at(query).received;
  const scheduler::Verdict verdict = use_.stages.offer_to_scheduler(use_.clock.now(), query, request, cost_s);
  if (verdict.ruling == scheduler::Ruling::turn_away)
    return use_.responder.reject_unsubmitted(query, verdict.hint);
  use_.responder.attach_quote(request, verdict.quote);
  if (verdict.ruling == scheduler::Ruling::pass) submit_to_policy(query, verdict.cost);
}

// `cost_s`: the stages' estimate in core seconds, corrected by tenant; it replaces the reported one, so that
// a tenant's wrong estimates do not distort what the decision module learns of a class. 0: none.
void RequestAdmission::submit_to_policy(QueryId query, double cost_s) {
  const Time now = use_.clock.now();
  Request& request = use_.requests.at(query);
  const RequestReceived& received = request.received;
  const routing::Route route = use_.routes.route_of(now, received);
  if (route.closed) return use_.responder.reject_unsubmitted(query, kOverloadedRetryAfter);
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
  use_.policy_events.push(arrived);
}

void RequestAdmission::handle(const QuoteRequested& quote) {
  const RequestReceived& request = quote.request;
  if (!use_.stages.has_scheduler())
    return use_.responder.fail(BadRequest{request.session, request.call, "unknown class"});
  use_.responder.send_quote(request, use_.stages.quote(use_.clock.now(), request));
}

bool RequestAdmission::advance_one() { return advance_scheduler() || advance_throttle(); }

bool RequestAdmission::advance_throttle() {
  const auto moved = use_.stages.next_from_throttle(use_.clock.now());
  if (!moved) return false;
  if (moved->admission.decision == throttle::Decision::admit)
    after_throttle(moved->query, moved->admission.cost);
  else
    use_.responder.reject_unsubmitted(moved->query, moved->admission.retry_after);
  return true;
}

bool RequestAdmission::advance_scheduler() {
  const auto moved = use_.stages.next_from_scheduler(use_.clock.now());
  if (!moved) return false;
  if (moved->verdict.ruling == scheduler::Ruling::pass)
    submit_to_policy(moved->query, moved->verdict.cost);
  else
    use_.responder.reject_unsubmitted(moved->query, moved->verdict.hint);
  return true;
}

void RequestAdmission::schedule_stage_timer() {
  const Time due = use_.stages.next_due(use_.clock.now());
  if (due == Time::max()) return;
  if (use_.timers.is_scheduled(stage_timer_) && stage_timer_->first <= due) return;
  use_.timers.cancel(stage_timer_);
  stage_timer_ = use_.timers.schedule(due, StageTimer{});
}

}  // namespace yokestream::dispatch
