// The one class that sends clients their final answers (result, rejection, failure) and closes their calls.
//
// Owns no state: calls are in the RequestTable, connections in the ClientSessions. Invariant: every call that
// is closed has had its one final answer, or its client wants none any more. One thread.
#pragma once

#include <string_view>

#include "config/config.h"
#include "dispatch/client_sessions.h"
#include "dispatch/policy_event_queue.h"
#include "dispatch/request_table.h"
#include "dispatch/route_guard.h"
#include "figures/figures.h"

namespace yokestream::dispatch {

class ClientResponder {
 public:
  struct Collaborators {
    const config::Config& config;
    const DispatchClock& clock;
    ClientPort& clients;
    ClientSessions& sessions;
    RequestTable& requests;
    RouteGuard& routes;
    PolicyEventQueue& policy_events;
    figures::Figures& metrics;
  };
  explicit ClientResponder(const Collaborators& collaborators) : use_(collaborators) {}

  // Answers to what is not in the RequestTable, or whose call the caller closes.
  void reject(const RequestReceived& request, Duration retry_after);
  void fail(const RequestReceived& request, std::string_view cause);
  void fail(const BadRequest& bad);
  void send_readiness(const ProbeReceived& probe, bool ready);
  void send_quote(const RequestReceived& request, const scheduler::Quote& quote);
  void attach_quote(const RequestReceived& request, const scheduler::Quote& quote);

  // The result of the attempt, whose rows and memory move to the client. Closes the call.
  void send_result(Request& request);
  // Fails an open request and closes its call.
  void fail_open(Request& request, std::string_view cause);
  // Rejects a request that was never submitted to the decision module: nothing of it can have run.
  // Invalidates references to it, as do the calls below.
  void reject_unsubmitted(policy::QueryId query, Duration retry_after);
  void handle(const policy::Reject& rejection);
  void handle(const policy::Fail& failure);
  // Nothing is owed to the client any more; the decision module cancels what is in flight for it.
  void abandon(policy::QueryId query);

  // Closes the connection unless something has come from it that was not handled yet.
  void close_if_idle(SessionId session);
  // Closes stalled connections on which nothing is open any more, once their answers are written.
  void close_finished_stalled();

 private:
  void close_call(Request& request);

  Collaborators use_;
};

}  // namespace yokestream::dispatch
