// AttemptTracker: from the decision module's choice to a connection that carries the attempt.
#include <utility>

#include "dispatch/attempt_tracker.h"

namespace yokestream::dispatch {
namespace {

using policy::Outcome;
using policy::QueryId;

// A lack of descriptors, ports or connections on this machine passes, and says nothing of the engine: the
// attempt keeps its place and connects again, for as long as any other may take to come up.
constexpr Duration kReconnectInterval = std::chrono::milliseconds(10);

Outcome outcome_of_disconnect(const EngineDisconnected& disconnected, bool was_up, bool unwritten) {
  if (disconnected.local_fault) return Outcome::never_sent;
  if (!was_up) return Outcome::unreachable;
  return unwritten ? Outcome::never_sent : Outcome::reset;
}

}  // namespace

void AttemptTracker::handle(const policy::Send& send) {
  Request* request = use_.requests.find(send.query);
  if (!request) return;
  const policy::AttemptNumber number{request->attempt_count++};
  if (request->answered || request->attempt) return report_not_sent(send, number, Outcome::never_sent);
  const EngineRecord* engine = use_.directory.find_available(send.engine.name);
  if (!engine) return report_not_sent(send, number, Outcome::unreachable);
  // Failure: a routing table came after the decision module chose. Symptom: work at an engine that its area
  // has left. Guard: the choice is checked again as it is sent.
  if (is_barred(*request, send.engine.name)) return report_not_sent(send, number, Outcome::never_sent);
  request->attempt = make_attempt(send, number, *request);
  // Failure: the client left while its request was queued, or while this process stood still. Symptom:
  // engines run work for nobody. Guard: its connection is checked right before the attempt leaves.
  if (use_.clients.has_disconnected(request->received.session)) {
    request->attempt->phase = AttemptPhase::connecting;
    return use_.responder.abandon(send.query);
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
  ended.query_finished = use_.requests.at(send.query).answered;
  use_.policy_events.push(std::move(ended));
}

Attempt AttemptTracker::make_attempt(const policy::Send& send, policy::AttemptNumber number,
                                     const Request& request) {
  const Time now = use_.clock.now();
  Attempt attempt;
  attempt.number = number;
  attempt.engine_uid = send.engine.name;
  attempt.tag = ++last_tag_;
  attempt.sent_at = now;
  attempt.connect_by = now + use_.config.real.dial_time;
  attempt.respond_by = request.received.deadline;
  if (send.timeout > Duration{} && now + send.timeout < attempt.respond_by) {
    attempt.respond_by = now + send.timeout;
    use_.timers.schedule(attempt.respond_by, AttemptTimer{send.query, attempt.tag, Outcome::timed_out, now});
  }
  return attempt;
}

void AttemptTracker::connect_or_retry(QueryId query, Request& request, const EngineRecord& engine) {
  if (send_on_connection(query, request, engine)) return;
  if (!schedule_reconnect(query, *request.attempt)) end(query, request, Outcome::never_sent);
}

// The attempt leaves once its connection is up. False: no connection can be had.
bool AttemptTracker::send_on_connection(QueryId query, Request& request, const EngineRecord& engine) {
  const Time now = use_.clock.now();
  Attempt& attempt = *request.attempt;
  const auto connection =
      use_.connections.acquire(now, attempt.engine_uid, engine, request.used_connections, attempt.connect_by);
  if (!connection) return false;
  request.used_connections.push_back(*connection);
  use_.connections.add_request(now, *connection, request.received.request_id, query);
  attempt.connection = *connection;
  attempt.phase = AttemptPhase::in_flight;
  EngineRequest message;
  message.id = request.received.request_id;
  message.query_class = use_.config.real.classes[static_cast<std::size_t>(request.received.query_class)];
  message.deadline = attempt.respond_by;
  message.priority =
      use_.stages.on_attempt_started(now, query, attempt.engine_uid, request.requested_priority);
  if (use_.routes.route_of(now, request.received).needs_lease) {
    message.lease_expiry = use_.routes.lease_expiry();
    use_.timers.schedule(message.lease_expiry, AttemptTimer{query, attempt.tag, Outcome::never_sent, now});
  }
  message.statement = request.received.statement;
  use_.engines.send(*connection, attempt.tag, std::move(message));
  return true;
}

// False: connecting has been retried for long enough.
bool AttemptTracker::schedule_reconnect(QueryId query, Attempt& attempt) {
  const Time next = use_.clock.now() + kReconnectInterval;
  if (next >= attempt.connect_by) return false;
  attempt.phase = AttemptPhase::connecting;
  use_.timers.schedule(next, ReconnectTimer{query, attempt.tag});
  return true;
}

void AttemptTracker::handle(const ReconnectTimer& timer) {
  Request* request = use_.requests.find_attempt(timer.query, timer.tag);
  if (!request) return;
  const std::string& engine_uid = request->attempt->engine_uid;
  const EngineRecord* engine = use_.directory.find_available(engine_uid);
  if (request->answered || !engine || is_barred(*request, engine_uid))
    return end(timer.query, *request, Outcome::never_sent);
  if (use_.clients.has_disconnected(request->received.session)) return use_.responder.abandon(timer.query);
  connect_or_retry(timer.query, *request, *engine);
}

void AttemptTracker::handle(const EngineConnected& connected) {
  EngineConnection* connection = use_.connections.find(connected.connection);
  if (!connection) return;
  connection->up = true;
  connection->last_activity = use_.clock.now();
}

void AttemptTracker::handle(const EngineDisconnected& disconnected) {
  EngineConnection* connection = use_.connections.find(disconnected.connection);
  if (!connection) return;
  // Copied, as ending an attempt takes it off the connection.
  const auto in_flight = connection->in_flight;
  const bool was_up = connection->up;
  if (was_up && !in_flight.empty())
    use_.log.write("engine connection closed: engine=" + connection->uid +
                   " attempts=" + std::to_string(in_flight.size()) + " cause=\"" + disconnected.cause + "\"");
  for (const auto& [request_id, query] : in_flight) {
    Request& request = use_.requests.at(query);
    const bool unwritten = use_.engines.withdraw(disconnected.connection, request.attempt->tag);
    if (disconnected.local_fault && schedule_reconnect(query, *request.attempt)) continue;
    end(query, request, outcome_of_disconnect(disconnected, was_up, unwritten));
  }
  use_.connections.erase(disconnected.connection);
}

void AttemptTracker::close_connection(EngineConnectionId connection, const char* cause) {
  use_.engines.close(connection);
  handle(EngineDisconnected{connection, cause});
}

}  // namespace yokestream::dispatch
