// Tracks attempts through their phases, from the decision module's choice of an engine to the end of the
// attempt.
//
//   phase       entered when            may run on the engine  ends by
//   connecting  there is no connection  no                     reconnect (-> in_flight), withdrawal, timeout
//   in_flight   the query was sent      yes                    result, fault, timeout, disconnect, cancel
//   cancelling  the cancel was sent     yes                    confirmation, result, fault, disconnect,
//   timeout fetching    the result arrived      has run                last page, fault, timeout, disconnect
//
// Owns the tag of the last attempt; attempts are stored in the requests of the RequestTable. Invariants:
//  - A request has at most one attempt. The next one starts only after end(): the engine responded, its
//    connection closed, nothing of the attempt was written (withdrawn), or the engine confirmed the cancel.
//  - Every attempt ends exactly once, and the decision module is notified of it.
//  - Nothing new is sent to an engine that is not available.
//  - A shortage of local resources (descriptors, ports) is never reported as a fault of the engine.
// Not thread-safe.
#pragma once

#include "config/config.h"
#include "dispatch/client_responder.h"
#include "dispatch/engine_connections.h"
#include "dispatch/engine_directory.h"

namespace yokestream::dispatch {

class AttemptTracker {
 public:
  struct Dependencies {
    const config::Config& config;
    const DispatchClock& clock;
    ClientPort& clients;
    EnginePort& engines;
    Log& log;
    const EngineDirectory& directory;
    EngineConnections& connections;
    AdmissionStages& stages;
    RouteGuard& routes;
    RequestTable& requests;
    TimerQueue& timers;
    ClientResponder& responder;
    PolicyEventQueue& policy_events;
  };
  explicit AttemptTracker(const Dependencies& dependencies) : deps_(dependencies) {}

  // Actions of the decision module.
  void handle(const policy::Send& send);
  void handle(const policy::Cancel& cancel);
  void handle(const policy::SetExecutionTerms& terms);

  // Timers.
  void handle(const ResponseDeadline& deadline);
  void handle(const AttemptTimer& timer);
  void handle(const ReconnectTimer& timer);

  void handle(const EngineConnected& connected);
  void handle(const EngineDisconnected& disconnected);
  // Closes a connection that can no longer be trusted, and ends all attempts on it.
  void close_connection(EngineConnectionId connection, const char* cause);

  // Ends the attempt: notifies the decision module, and removes the request if it is done.
  void end(policy::QueryId query, Request& request, policy::Outcome outcome);
  // The client doesn't want a response any more: closes its call, and withdraws an attempt that is not
  // written.
  void abandon_request(policy::QueryId query);
  // Ends an attempt that may still be running: cancels it at the engine first, or releases its result. Later
  // responses are dropped.
  void abandon(policy::QueryId query, Request& request, policy::Outcome outcome);

  // Withdraws unwritten attempts from engines that are no longer available.
  void withdraw_from_unavailable();
  // Applies changed routes: notifies the decision module of the engines that each request may use now, and
  // withdraws unwritten attempts from engines that are excluded.
  void enforce_routes();
  // Returns true if the current routes allow every attempt in flight.
  bool conforms_to_routes() const;
  // Sends the priority bands that the scheduler has changed to the engines.
  void send_band_changes();

 private:
  void report_not_sent(const policy::Send& send, policy::AttemptNumber number, policy::Outcome outcome);
  Attempt make_attempt(const policy::Send& send, policy::AttemptNumber number, const Request& request);
  void connect_or_retry(policy::QueryId query, Request& request, const EngineRecord& engine);
  bool send_on_connection(policy::QueryId query, Request& request, const EngineRecord& engine);
  bool schedule_reconnect(policy::QueryId query, Attempt& attempt);
  bool withdraw(const Attempt& attempt);
  bool may_run_twice(const Request& request) const;
  bool is_excluded_by_route(const Request& request, const std::string& engine_uid) const;

  Dependencies deps_;
  AttemptTag last_tag_ = 0;
};

}  // namespace yokestream::dispatch
