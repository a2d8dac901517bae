#include "dispatch/client_responder.h"

#include <algorithm>
#include <string>
#include <utility>

namespace yokestream::dispatch {

using policy::QueryId;

// The connection of a flooding client is closed only if nothing of it is pending: data in its reader, events
// in the dispatcher's queue and unwritten answers are handled first. Otherwise it is closed after a later
// answer.
void ClientResponder::reject(const RequestReceived& request, Duration retry_after,
                             metrics::RejectionCause cause) {
  const policy::Settings& settings = deps_.config.settings;
  const Duration advised_delay =
      settings.may_send_retry_after ? std::min(retry_after, settings.max_retry_after) : Duration{};
  deps_.clients.send_rejection(request.session, request.call, advised_delay);
  deps_.metrics.count_request(static_cast<std::size_t>(request.query_class),
                              metrics::RequestOutcome::rejected);
  deps_.metrics.count_rejection(cause);
  if (deps_.sessions.on_response_sent(deps_.clock.now(), request.session)) close_if_idle(request.session);
}

void ClientResponder::fail(const RequestReceived& request, std::string_view cause) {
  deps_.metrics.count_request(static_cast<std::size_t>(request.query_class), metrics::RequestOutcome::failed);
  fail(BadRequest{request.session, request.call, std::string(cause)});
}

void ClientResponder::fail(const BadRequest& bad) {
  deps_.clients.send_failure(bad.session, bad.call, bad.problem);
  if (deps_.sessions.on_response_sent(deps_.clock.now(), bad.session)) close_if_idle(bad.session);
}

void ClientResponder::send_readiness(const ProbeReceived& probe, bool ready) {
  deps_.clients.send_readiness(probe.session, probe.call, ready);
  deps_.sessions.on_response_sent(deps_.clock.now(), probe.session);
}

void ClientResponder::send_quote(const RequestReceived& request, const scheduler::WaitEstimate& quote) {
  deps_.clients.send_quote(request.session, request.call, quote);
  deps_.sessions.on_response_sent(deps_.clock.now(), request.session);
}

void ClientResponder::attach_quote(const RequestReceived& request, const scheduler::WaitEstimate& quote) {
  deps_.clients.attach_quote(request.session, request.call, quote);
}

void ClientResponder::send_result(Request& request) {
  Attempt& attempt = *request.attempt;
  const SessionId session = request.received.session;
  deps_.clients.send_result(session, request.received.call,
                            Result{std::move(attempt.response.body), std::move(attempt.memory_reservation)});
  deps_.sessions.on_result_sent(deps_.clock.now(), session);
  deps_.metrics.count_request(static_cast<std::size_t>(request.received.query_class),
                              metrics::RequestOutcome::served);
  deps_.routes.record_outcome(deps_.clock.now(), request, true);
  close_call(request);
}

void ClientResponder::fail_open(Request& request, std::string_view cause) {
  close_call(request);
  fail(request.received, cause);
}

void ClientResponder::reject_unsubmitted(QueryId query, Duration retry_after, metrics::RejectionCause cause) {
  Request& request = deps_.requests.at(query);
  close_call(request);
  reject(request.received, retry_after, cause);
  deps_.requests.forget_if_done(query);
}

void ClientResponder::handle(const policy::Reject& rejection) {
  Request* request = deps_.requests.find(rejection.query);
  if (!request || request->answered) return;
  request->stage_outcome.rejected_by_policy = true;
  deps_.routes.record_outcome(deps_.clock.now(), *request, false);
  close_call(*request);
  reject(request->received, rejection.retry_after, metrics::RejectionCause::policy);
  deps_.requests.forget_if_done(rejection.query);
}

void ClientResponder::handle(const policy::Fail& failure) {
  Request* request = deps_.requests.find(failure.query);
  if (!request || request->answered) return;
  deps_.routes.record_outcome(deps_.clock.now(), *request, false);
  fail_open(*request, "Failed");
  deps_.requests.forget_if_done(failure.query);
}

void ClientResponder::abandon(QueryId query) {
  close_call(deps_.requests.at(query));
  deps_.policy_events.push(policy::ClientDisconnected{query});
  deps_.requests.forget_if_done(query);
}

void ClientResponder::close_if_idle(SessionId session) {
  if (!deps_.clients.close_if_idle(session)) deps_.sessions.cancel_close(session);
}

void ClientResponder::close_finished_stalled() {
  for (const SessionId session : deps_.sessions.take_finished_stalled()) {
    if (!deps_.clients.close_after_responses(session)) deps_.sessions.cancel_close(session);
  }
}

void ClientResponder::close_call(Request& request) {
  deps_.requests.close_call(request);
  deps_.sessions.on_request_closed(deps_.clock.now(), request.received.session);
}

}  // namespace yokestream::dispatch
