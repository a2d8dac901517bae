// Sends clients their final responses (result, rejection or failure) and closes their calls. No other class
// does either.
//
// Stateless: calls are stored in the RequestTable, connections in ClientSessions. Invariant: a call is closed
// in the same step in which its single final response is sent, or when its client no longer wants one. Not
// thread-safe.
#pragma once

#include <string_view>

#include "config/config.h"
#include "dispatch/client_sessions.h"
#include "dispatch/policy_event_queue.h"
#include "dispatch/request_table.h"
#include "dispatch/route_guard.h"
#include "metrics/metrics.h"

namespace yokestream::dispatch {

class ClientResponder {
 public:
  struct Dependencies {
    const config::Config& config;
    const DispatchClock& clock;
    ClientPort& clients;
    ClientSessions& sessions;
    RequestTable& requests;
    RouteGuard& routes;
    PolicyEventQueue& policy_events;
    metrics::Metrics& metrics;
  };
  explicit ClientResponder(const Dependencies& dependencies) : deps_(dependencies) {}

  // These do not close a call: the request is not in the RequestTable, or the calling code closes its call.
  void reject(const RequestReceived& request, Duration retry_after, metrics::RejectionCause cause);
  void fail(const RequestReceived& request, std::string_view cause);
  void fail(const BadRequest& bad);
  void send_readiness(const ProbeReceived& probe, bool ready);
  void send_quote(const RequestReceived& request, const scheduler::WaitEstimate& quote);
  // Adds the quote to the later response; sends nothing.
  void attach_quote(const RequestReceived& request, const scheduler::WaitEstimate& quote);

  // Sends the result of the attempt, hands its rows and their memory reservation to the ClientPort, and
  // closes the call.
  void send_result(Request& request);
  // Fails an open request and closes its call.
  void fail_open(Request& request, std::string_view cause);
  // Rejects a request that was never submitted to the decision module, so no engine can have run it.
  // This call and the ones below invalidate references to the request.
  void reject_unsubmitted(policy::QueryId query, Duration retry_after, metrics::RejectionCause cause);
  void handle(const policy::Reject& rejection);
  void handle(const policy::Fail& failure);
  // Closes the call without a response. The decision module cancels an attempt that is still in flight.
  void abandon(policy::QueryId query);

  // Closes the connection unless it has received something that was not handled yet. This is what `idle`
  // means here; in ClientSessions an idle connection is one that has no open request.
  void close_if_idle(SessionId session);
  // Closes the connections that are stalled (SessionStalled) and have no open request left, once
  // their responses are written.
  void close_finished_stalled();

 private:
  void close_call(Request& request);

  Dependencies deps_;
};

}  // namespace yokestream::dispatch
