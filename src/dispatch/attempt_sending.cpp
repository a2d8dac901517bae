// AttemptTracker: connecting to the chosen engine and sending the attempt.
#include <algorithm>
#include <utility>

#include "dispatch/attempt_tracker.h"

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

// A shortage of descriptors, ports or connections on this machine is temporary and not a fault of the engine:
// the attempt is kept and connecting is retried, for at most the usual connect timeout.
constexpr Duration kReconnectInterval = std::chrono::milliseconds(10);

Outcome outcome_of_disconnect(const EngineDisconnected& disconnected, bool was_up, bool unwritten) {
  if (disconnected.local_fault) return Outcome::never_sent;
  if (!was_up) return Outcome::unreachable;
  return unwritten ? Outcome::never_sent : Outcome::reset;
}

}  // namespace

void AttemptTracker::handle(const policy::Send& send) {
  Request* request = deps_.requests.find(send.query);
  if (!request) return;
  const policy::AttemptNumber number{request->attempt_count++};
  if (request->answered || request->attempt) return report_not_sent(send, number, Outcome::never_sent);
  const EngineRecord* engine = deps_.directory.find_available(send.engine.name);
  if (!engine) return report_not_sent(send, number, Outcome::unreachable);
  // Failure: a routing table is installed after the decision module has chosen the engine. Symptom: a request
  // runs on an engine that its area has left. Guard: the choice is checked again right before sending.
  if (is_excluded_by_route(*request, send.engine.name))
    return report_not_sent(send, number, Outcome::never_sent);
  request->attempt = make_attempt(send, number, *request);
  // Failure: the client disconnected while its request was queued, or while this process was suspended.
  // Symptom: an engine runs a query whose result nobody receives. Guard: the client's connection is checked
  // right before the attempt is sent.
  if (deps_.clients.has_disconnected(request->received.session)) {
    request->attempt->phase = AttemptPhase::connecting;
    return abandon_request(send.query);
  }
  connect_or_retry(send.query, *request, *engine);
}

void AttemptTracker::report_not_sent(const policy::Send& send, policy::AttemptNumber number,
                                     Outcome outcome) {
  policy::AttemptEnded ended;
  ended.query = send.query;
  ended.attempt = number;
  ended.engine = send.engine;
  ended.outcome = outcome;
  ended.query_finished = deps_.requests.at(send.query).answered;
  deps_.policy_events.push(std::move(ended));
}

Attempt AttemptTracker::make_attempt(const policy::Send& send, policy::AttemptNumber number,
                                     const Request& request) {
  const Time now = deps_.clock.now();
  Attempt attempt;
  attempt.number = number;
  attempt.engine_uid = send.engine.name;
  attempt.tag = ++last_tag_;
  attempt.sent_at = now;
  attempt.connect_deadline = now + deps_.config.real.dial_time;
  attempt.response_deadline = request.received.deadline;
  if (send.timeout > Duration{} && now + send.timeout < attempt.response_deadline) {
    attempt.response_deadline = now + send.timeout;
    deps_.timers.schedule(attempt.response_deadline,
                          AttemptTimer{send.query, attempt.tag, Outcome::timed_out, now});
  }
  attempt.write_deadline = attempt.response_deadline;
  if (send.valid_for > Duration{} && now + send.valid_for < attempt.write_deadline) {
    attempt.write_deadline = now + send.valid_for;
    deps_.timers.schedule(attempt.write_deadline,
                          AttemptTimer{send.query, attempt.tag, Outcome::never_sent, now});
  }
  return attempt;
}

void AttemptTracker::connect_or_retry(QueryId query, Request& request, const EngineRecord& engine) {
  if (send_on_connection(query, request, engine)) return;
  if (!schedule_reconnect(query, *request.attempt)) end(query, request, Outcome::never_sent);
}

// Hands the attempt to a connection, which sends it once it is up. Returns false if no connection is
// available.
bool AttemptTracker::send_on_connection(QueryId query, Request& request, const EngineRecord& engine) {
  const Time now = deps_.clock.now();
  Attempt& attempt = *request.attempt;
  const auto connection = deps_.connections.acquire(now, attempt.engine_uid, engine, request.used_connections,
                                                    attempt.connect_deadline);
  if (!connection) return false;
  request.used_connections.push_back(*connection);
  deps_.connections.add_request(now, *connection, request.received.request_id, query);
  attempt.connection = *connection;
  attempt.phase = AttemptPhase::in_flight;
  EngineRequest message;
  message.id = request.received.request_id;
  message.query_class = deps_.config.real.classes[static_cast<std::size_t>(request.received.query_class)];
  message.deadline = attempt.response_deadline;
  message.priority =
      deps_.stages.on_attempt_started(now, query, attempt.engine_uid, request.requested_priority);
  message.write_deadline = attempt.write_deadline;
  if (deps_.routes.route_of(now, request.received).needs_lease) {
    message.write_deadline = std::min(message.write_deadline, deps_.routes.lease_expiry());
    deps_.timers.schedule(message.write_deadline, AttemptTimer{query, attempt.tag, Outcome::never_sent, now});
  }
  message.statement = request.received.statement;
  deps_.engines.send(*connection, attempt.tag, std::move(message));
  return true;
}

// Returns false if the connect deadline would have passed by the next retry.
bool AttemptTracker::schedule_reconnect(QueryId query, Attempt& attempt) {
  const Time next = deps_.clock.now() + kReconnectInterval;
  if (next >= attempt.connect_deadline) return false;
  attempt.phase = AttemptPhase::connecting;
  deps_.timers.schedule(next, ReconnectTimer{query, attempt.tag});
  return true;
}

void AttemptTracker::handle(const ReconnectTimer& timer) {
  Request* request = deps_.requests.find_attempt(timer.query, timer.tag);
  if (!request) return;
  const std::string& engine_uid = request->attempt->engine_uid;
  const EngineRecord* engine = deps_.directory.find_available(engine_uid);
  if (request->answered || !engine || is_excluded_by_route(*request, engine_uid))
    return end(timer.query, *request, Outcome::never_sent);
  if (deps_.clients.has_disconnected(request->received.session)) return abandon_request(timer.query);
  connect_or_retry(timer.query, *request, *engine);
}

void AttemptTracker::handle(const EngineConnected& connected) {
  EngineConnection* connection = deps_.connections.find(connected.connection);
  if (!connection) return;
  connection->up = true;
  connection->last_activity = deps_.clock.now();
}

void AttemptTracker::handle(const EngineDisconnected& disconnected) {
  EngineConnection* connection = deps_.connections.find(disconnected.connection);
  if (!connection) return;
  // Copied, because ending an attempt removes it from the connection.
  const auto in_flight = connection->in_flight;
  const bool was_up = connection->up;
  if (was_up && !in_flight.empty())
    deps_.log.write("engine connection closed: engine=" + connection->uid + " attempts=" +
                    std::to_string(in_flight.size()) + " cause=\"" + disconnected.cause + "\"");
  for (const auto& [request_id, query] : in_flight) {
    Request& request = deps_.requests.at(query);
    const bool unwritten = deps_.engines.withdraw(disconnected.connection, request.attempt->tag);
    if (disconnected.local_fault && schedule_reconnect(query, *request.attempt)) continue;
    end(query, request, outcome_of_disconnect(disconnected, was_up, unwritten));
  }
  deps_.connections.erase(disconnected.connection);
}

void AttemptTracker::close_connection(EngineConnectionId connection, const char* cause) {
  deps_.engines.close(connection);
  handle(EngineDisconnected{connection, cause});
}

}  // namespace yokestream::dispatch
