#include "dispatch/client_responder.h"

#include <algorithm>
#include <string>
#include <utility>

namespace yokestream::dispatch {

using policy::QueryId;

// A client that floods is closed only where nothing of it is on the way: what its reader holds, what waits in
// the inbox and the answers not yet written are owed first. Else it is closed with a later answer.
void ClientResponder::reject(const RequestReceived& request, Duration retry_after) {
  const policy::Settings& settings = use_.config.settings;
  const Duration advice =
      settings.may_send_retry_after ? std::min(retry_after, settings.max_retry_after) : Duration{};
  use_.clients.send_rejection(request.session, request.call, advice);
  use_.metrics.ended(static_cast<std::size_t>(request.query_class), figures::End::refused);
  if (use_.sessions.on_response_sent(use_.clock.now(), request.session)) close_if_idle(request.session);
}

void ClientResponder::fail(const RequestReceived& request, std::string_view cause) {
  use_.metrics.ended(static_cast<std::size_t>(request.query_class), figures::End::failed);
  fail(BadRequest{request.session, request.call, std::string(cause)});
}

void ClientResponder::fail(const BadRequest& bad) {
  use_.clients.send_failure(bad.session, bad.call, bad.problem);
  if (use_.sessions.on_response_sent(use_.clock.now(), bad.session)) close_if_idle(bad.session);
}

void ClientResponder::send_readiness(const ProbeReceived& probe, bool ready) {
  use_.clients.send_readiness(probe.session, probe.call, ready);
  use_.sessions.on_response_sent(use_.clock.now(), probe.session);
}

void ClientResponder::send_quote(const RequestReceived& request, const scheduler::Quote& quote) {
  use_.clients.send_quote(request.session, request.call, quote);
  use_.sessions.on_response_sent(use_.clock.now(), request.session);
}

void ClientResponder::attach_quote(const RequestReceived& request, const scheduler::Quote& quote) {
  use_.clients.attach_quote(request.session, request.call, quote);
}

void ClientResponder::send_result(Request& request) {
  Attempt& attempt = *request.attempt;
  const SessionId session = request.received.session;
  use_.clients.send_result(session, request.received.call,
                           Result{std::move(attempt.response.body), std::move(attempt.memory_reservation)});
  use_.sessions.on_result_sent(use_.clock.now(), session);
  use_.metrics.ended(static_cast<std::size_t>(request.received.query_class), figures::End::served);
  use_.routes.record_outcome(use_.clock.now(), request, true);
  close_call(request);
}

void ClientResponder::fail_open(Request& request, std::string_view cause) {
  close_call(request);
  fail(request.received, cause);
}

void ClientResponder::reject_unsubmitted(QueryId query, Duration retry_after) {
  Request& request = use_.requests.at(query);
  close_call(request);
  reject(request.received, retry_after);
  use_.requests.forget_if_done(query);
}

void ClientResponder::handle(const policy::Reject& rejection) {
  Request* request = use_.requests.find(rejection.query);
  if (!request || request->answered) return;
  request->stage_outcome.rejected_by_policy = true;
  use_.routes.record_outcome(use_.clock.now(), *request, false);
  close_call(*request);
  reject(request->received, rejection.retry_after);
  use_.requests.forget_if_done(rejection.query);
}

void ClientResponder::handle(const policy::Fail& failure) {
  Request* request = use_.requests.find(failure.query);
  if (!request || request->answered) return;
  use_.routes.record_outcome(use_.clock.now(), *request, false);
  fail_open(*request, "Failed");
  use_.requests.forget_if_done(failure.query);
}

void ClientResponder::abandon(QueryId query) {
  close_call(use_.requests.at(query));
  use_.policy_events.push(policy::ClientDisconnected{query});
  use_.requests.forget_if_done(query);
}

void ClientResponder::close_if_idle(SessionId session) {
  if (!use_.clients.close_if_idle(session)) use_.sessions.keep_open(session);
}

void ClientResponder::close_finished_stalled() {
  for (const SessionId session : use_.sessions.take_finished_stalled())
    use_.clients.close_after_responses(session);
}

void ClientResponder::close_call(Request& request) {
  use_.requests.close_call(request);
  use_.sessions.on_request_closed(use_.clock.now(), request.received.session);
}

}  // namespace yokestream::dispatch
