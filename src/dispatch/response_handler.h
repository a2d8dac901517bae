// What an engine's response means in the phase that its attempt is in.
//
// Owns no state: attempts are in the requests of the RequestTable. Invariants: a response counts for an
// attempt only if its connection carries the request's id; anything else is late and dropped. Rows reach a
// client only complete, in order and checked; a connection that brought one corrupt response is closed. Once
// `result` has come the query ran: whatever follows is about its pages. One thread.
#pragma once

#include "dispatch/attempt_tracker.h"
#include "dispatch/budget.h"

namespace yokestream::dispatch {

class ResponseHandler {
 public:
  struct Collaborators {
    const DispatchClock& clock;
    Budget& budget;
    EnginePort& engines;
    Log& log;
    EngineConnections& connections;
    ClientSessions& sessions;
    RequestTable& requests;
    AttemptTracker& attempts;
    ClientResponder& responder;
    PolicyEventQueue& policy_events;
  };
  explicit ResponseHandler(const Collaborators& collaborators) : use_(collaborators) {}

  void handle(const ResponseReceived& received);

 private:
  void on_pong(const EngineConnection& connection, const std::string& tag);
  void on_progress(policy::QueryId query, const Attempt& attempt, const EngineResponse& response);
  void on_result(policy::QueryId query, Request& request, EngineResponse response);
  void on_page(policy::QueryId query, Request& request, EngineResponse response);
  void on_fault(policy::QueryId query, Request& request, const EngineResponse& response);
  void deliver_result(policy::QueryId query, Request& request);
  void fail_unserviceable(policy::QueryId query, Request& request);
  void on_corrupt_response(EngineConnectionId connection);

  Collaborators use_;
};

}  // namespace yokestream::dispatch
