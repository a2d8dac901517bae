// Handles the responses of engines according to the phase of the attempt.
//
// Stateless: attempts are stored in the requests of the RequestTable. Invariants: a response is accepted only
// if the request with its id is in flight on the same connection; any other response is late and is dropped.
// Rows reach a client only complete, in order and validated; a connection that delivers one corrupt response
// is closed. After a `result` response the query has run, and all further responses concern its pages. Not
// thread-safe.
#pragma once

#include "dispatch/attempt_tracker.h"
#include "dispatch/budget.h"

namespace yokestream::dispatch {

class ResponseHandler {
 public:
  struct Dependencies {
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
  explicit ResponseHandler(const Dependencies& dependencies) : deps_(dependencies) {}

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

  Dependencies deps_;
};

}  // namespace yokestream::dispatch
