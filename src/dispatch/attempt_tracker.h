// Attempts and their phases: from the decision module's choice to a connection, and to the one end of each.
//
//   phase       from         an engine may run it   ends by
//   connecting  no connection  no                   reconnect (in_flight), withdrawn, given up
//   in_flight   sent           yes                  result, fault, timeout, disconnect, cancel
//   cancelling  cancel sent    yes                  confirmation, result, fault, disconnect, timeout
//   fetching    result came    it ran               last page, fault, timeout, disconnect
//
// Owns the tag of the last attempt; the attempts are in the requests of the RequestTable. Invariants: a
// request has one attempt at most; the next starts only after end(), when the engine responded, its
// connection ended, nothing of it was written (withdrawn), or the engine confirmed the cancel. Every attempt
// ends exactly once, and the decision module is notified of each. Nothing new goes to an engine that is not
// available. A lack on this machine (descriptors, ports) is never reported as a fault of the engine. One
// thread.
#pragma once

#include "config/config.h"
#include "dispatch/client_responder.h"
#include "dispatch/engine_connections.h"
#include "dispatch/engine_directory.h"

namespace yokestream::dispatch {

class AttemptTracker {
 public:
  struct Collaborators {
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
  explicit AttemptTracker(const Collaborators& collaborators) : use_(collaborators) {}

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
  // Closes a connection that is not to be trusted any more, and ends all attempts on it.
  void close_connection(EngineConnectionId connection, const char* cause);

  // Ends the attempt: notifies the decision module, and forgets the request if it is done.
  void end(policy::QueryId query, Request& request, policy::Outcome outcome);
  // The same from this side, now: the engine is notified where it may still run, late responses are dropped.
  void abandon(policy::QueryId query, Request& request, policy::Outcome outcome);

  // Withdraws unwritten attempts at engines that are no longer available.
  void withdraw_from_unavailable();
  // After a change of routes: notifies the decision module of what each request may use now, and withdraws
  // unwritten attempts at engines that are barred.
  void enforce_routes();
  // Whether no attempt is in flight that the present routes would not let out.
  bool conforms_to_routes() const;
  // Notifies engines of the priority bands that the scheduler has changed.
  void send_band_changes();

 private:
  void report_not_sent(const policy::Send& send, policy::AttemptNumber number, policy::Outcome outcome);
  Attempt make_attempt(const policy::Send& send, policy::AttemptNumber number, const Request& request);
  void connect_or_retry(policy::QueryId query, Request& request, const EngineRecord& engine);
  bool send_on_connection(policy::QueryId query, Request& request, const EngineRecord& engine);
  bool schedule_reconnect(policy::QueryId query, Attempt& attempt);
  bool withdraw(const Attempt& attempt);
  bool is_barred(const Request& request, const std::string& engine_uid) const;

  Collaborators use_;
  AttemptTag last_tag_ = 0;
};

}  // namespace yokestream::dispatch
