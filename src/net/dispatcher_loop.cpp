#include "net/dispatcher_loop.h"

#include <algorithm>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace yokestream::net {
namespace {

using admin::ServingState;
using std::chrono::milliseconds;

constexpr Duration kSlowIterationThreshold = milliseconds(40);
constexpr Duration kSlowLogInterval = std::chrono::seconds(1);
// Time to write the responses that are still queued at the end of a shutdown. All threads share a part of one
// processor core, so writers may get no processor time for a moment.
constexpr Duration kLastWriteTimeout = milliseconds(600);
// The interval of checks whether sessions with unprocessed messages can be closed.
constexpr Duration kSettleCheckInterval = milliseconds(10);

// Returns the session that sent the message, if the event is a client's message.
std::optional<dispatch::SessionId> sender_of(const dispatch::Event& event) {
  return std::visit(
      [](const auto& e) -> std::optional<dispatch::SessionId> {
        using E = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<E, dispatch::RequestReceived> ||
                      std::is_same_v<E, dispatch::BadRequest> ||
                      std::is_same_v<E, dispatch::RequestCancelled> ||
                      std::is_same_v<E, dispatch::ProbeReceived>)
          return e.session;
        else if constexpr (std::is_same_v<E, dispatch::QuoteRequested>)
          return e.request.session;
        else
          return std::nullopt;
      },
      event);
}

ServingState serving_state(const dispatch::ServiceLifecycle& lifecycle) {
  if (lifecycle.is_shutting_down()) return ServingState::shutting_down;
  return lifecycle.is_ready() ? ServingState::ready : ServingState::draining;
}

}  // namespace

DispatcherLoop::DispatcherLoop(const Components& components)
    : components_(components), dispatcher_(components.dispatcher) {
  thread_ = Thread("dispatcher", kLargeStackBytes, [this] { run(); });
}

bool DispatcherLoop::has_finished(Time now) const {
  const auto& lifecycle = dispatcher_.lifecycle();
  if (dispatcher_.shutdown_complete(now)) return true;
  if (!lifecycle.is_shutting_down()) return false;
  // Half of the time that is left is for close_sessions().
  const Time deadline = lifecycle.shutdown_deadline();
  return now >= deadline + (lifecycle.exit_deadline() - deadline) / 2;
}

void DispatcherLoop::run() {
  while (true) {
    const Time time = now();
    if (has_finished(time)) break;
    if (components_.listener && !dispatcher_.lifecycle().accepts_connections(time))
      components_.session_reaper.retire(std::move(components_.listener));
    apply_operator_requests();
    if (components_.upgrade) components_.upgrade->tick();
    if (components_.fleet_state) components_.fleet_state->tick();
    run_iteration();
  }
  close_sessions();
}

// Failure: many events arrive at once, for instance when an engine fails. Symptom: responses that become due
// while they are handled are late. Guard: due timers run after each event.
void DispatcherLoop::run_iteration() {
  auto events = components_.events.drain_until(dispatcher_.next_due());
  const Time started_at = now();
  for (auto& event : events) {
    handle(std::move(event));
    dispatcher_.tick(now());
  }
  dispatcher_.tick(now());
  log_if_slow(started_at, events.size());
}

// A loop that falls behind makes responses late. Logs at most one slow iteration in kSlowLogInterval.
void DispatcherLoop::log_if_slow(Time started_at, std::size_t event_count) {
  const Time ended_at = now();
  if (ended_at - started_at < kSlowIterationThreshold || ended_at < next_slow_log_) return;
  next_slow_log_ = ended_at + kSlowLogInterval;
  components_.log.write(
      "dispatcher iteration slow: duration_ms=" + std::to_string((ended_at - started_at) / milliseconds(1)) +
      " events=" + std::to_string(event_count) +
      " open_requests=" + std::to_string(dispatcher_.open_requests()));
}

void DispatcherLoop::apply_operator_requests() {
  if (!components_.admin) return;
  const bool requested = components_.admin->drain_requested();
  if (std::exchange(draining_requested_, requested) != requested) {
    dispatcher_.handle(
        now(), requested ? dispatch::Event(dispatch::StartDraining{}) : dispatch::Event(dispatch::Resume{}));
    components_.log.write(requested ? "draining started: cause=\"operator request\""
                                    : "draining stopped: cause=\"operator request\"");
  }
  components_.admin->publish(serving_state(dispatcher_.lifecycle()));
}

void DispatcherLoop::handle(LoopEvent event) {
  if (auto* accepted = std::get_if<ClientAccepted>(&event)) {
    components_.client_port.add(accepted->id, std::move(accepted->session));
    dispatcher_.handle(now(), dispatch::SessionOpened{accepted->id, accepted->origin});
  } else if (const auto* reloaded = std::get_if<ConfigurationReloaded>(&event)) {
    dispatcher_.configure(now(), reloaded->throttle);
    dispatcher_.configure(now(), reloaded->scheduler);
    components_.discovery.watch(reloaded->feed);
  } else if (const auto* grant = std::get_if<LoadGrantChanged>(&event)) {
    if (components_.fleet_state) components_.fleet_state->on_load_grant_changed(*grant);
  } else if (const auto* routes = std::get_if<RoutesChanged>(&event)) {
    if (components_.fleet_state) components_.fleet_state->on_routes_changed(*routes);
  } else {
    handle(std::move(std::get<dispatch::Event>(event)));
  }
}

void DispatcherLoop::handle(dispatch::Event event) {
  if (components_.fleet_state && std::holds_alternative<dispatch::RequestReceived>(event))
    components_.fleet_state->on_request_received();
  if (auto* shutdown = std::get_if<dispatch::BeginShutdown>(&event)) prepare_shutdown(*shutdown);
  const auto sender = sender_of(event);
  std::optional<dispatch::SessionId> closed_session;
  std::optional<dispatch::EngineConnectionId> closed_connection;
  if (const auto* closed = std::get_if<dispatch::SessionClosed>(&event)) closed_session = closed->session;
  if (const auto* lost = std::get_if<dispatch::EngineDisconnected>(&event))
    closed_connection = lost->connection;

  dispatcher_.handle(now(), std::move(event));

  if (closed_session) {
    if (auto session = components_.client_port.remove(*closed_session))
      components_.session_reaper.retire(std::move(session));
  }
  if (closed_connection) components_.engine_port.close(*closed_connection);
  if (sender) {
    if (auto* session = components_.client_port.find(*sender)) session->release_message_credit();
  }
}

void DispatcherLoop::prepare_shutdown(dispatch::BeginShutdown& event) {
  // readyz reports no success from here on.
  if (components_.admin) components_.admin->publish(ServingState::shutting_down);
  event = upgrade::shutdown_event(components_.settings,
                                  components_.upgrade && components_.upgrade->has_successor());
  if (components_.upgrade) components_.upgrade->withdraw();
  if (components_.fleet_state) components_.fleet_state->begin_shutdown();
  components_.log.write(std::string("shutdown begins: successor=") + (event.has_successor ? "yes" : "no") +
                        " kill_after_ms=" + std::to_string(event.max_duration / milliseconds(1)) +
                        " open_requests=" + std::to_string(dispatcher_.open_requests()));
}

// Stops accepting clients, answers the messages already read (by now with a rejection), writes the queued
// responses, and then shuts down the write side of each connection, so that no connection is reset while its
// last responses are on the way. Clients that do not read, or keep sending, do not delay the end.
void DispatcherLoop::close_sessions() {
  if (components_.listener) components_.session_reaper.retire(std::move(components_.listener));
  const Time deadline = std::min(now() + kLastWriteTimeout, dispatcher_.lifecycle().exit_deadline());
  bool first_pass = true;  // the queue may still hold the last accepted connection
  while ((first_pass || !components_.client_port.empty()) && now() < deadline) {
    first_pass = false;
    components_.client_port.finish_settled_sessions();
    for (auto& event : components_.events.drain_until(std::min(deadline, now() + kSettleCheckInterval)))
      handle(std::move(event));
    dispatcher_.tick(now());
  }
}

}  // namespace yokestream::net
