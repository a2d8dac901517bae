#include "dispatch/service_controller.h"

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// How often sessions are checked while idle ones are closed.
constexpr Duration kIdleCheckInterval = milliseconds(10);
// A client that sends its next request right after each answer is not closed in between, because that request
// could arrive while its connection is being closed. A client that pauses between requests is closed.
constexpr Duration kMinSessionIdle = milliseconds(8);

}  // namespace

void ServiceController::handle(const BeginShutdown& shutdown) {
  const bool already_shutting_down = lifecycle_.is_shutting_down();
  lifecycle_.begin_shutdown(deps_.clock.now(), shutdown.has_successor, shutdown.max_duration);
  if (!already_shutting_down) deps_.timers.schedule(lifecycle_.shutdown_deadline(), ShutdownDeadline{});
  update();
}

void ServiceController::handle(const StartDraining&) {
  lifecycle_.start_draining(deps_.clock.now());
  update();
}

void ServiceController::handle(const IdleSessionTimer&) {
  idle_timer_scheduled_ = false;
  update();
}

// Failure: the process exits while requests are open. Symptom: their clients wait for answers that never
// come. Guard: each request is answered now, and the client may retry at another manager.
void ServiceController::handle(const ShutdownDeadline&) {
  while (const auto query = deps_.requests.first_open_call()) {
    const Request& request = deps_.requests.at(*query);
    const auto& query_class =
        deps_.config.settings.classes[static_cast<std::size_t>(request.received.query_class)];
    if (request.attempt_count == 0 || query_class.idempotency == policy::Idempotency::idempotent)
      deps_.responder.reject(request.received, Duration{}, metrics::RejectionCause::shutdown_deadline);
    else
      deps_.responder.fail(request.received, "Leaving");
    deps_.responder.abandon(*query);
  }
}

void ServiceController::update() {
  const Time now = deps_.clock.now();
  lifecycle_.tick(now, deps_.sessions.any_closing());
  std::optional<Duration> min_idle;
  if (lifecycle_.closes_idle_connections(now))
    min_idle = lifecycle_.accepts_requests(now) ? kMinSessionIdle : Duration{};
  for (const SessionId session : deps_.sessions.take_idle(now, min_idle))
    deps_.responder.close_if_idle(session);
  if (!min_idle || idle_timer_scheduled_) return;
  idle_timer_scheduled_ = true;
  deps_.timers.schedule(now + kIdleCheckInterval, IdleSessionTimer{});
}

}  // namespace yokestream::dispatch
