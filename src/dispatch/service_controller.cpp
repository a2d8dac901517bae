#include "dispatch/service_controller.h"

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// While sessions are closed as they fall idle: how often they are checked. A client that asks again at once
// after each answer is not cut off just then, as its next request would cross the end of its connection; one
// that pauses between two requests is closed.
constexpr Duration kIdleCheckInterval = milliseconds(10);
constexpr Duration kMinSessionIdle = milliseconds(8);

}  // namespace

void ServiceController::handle(const BeginShutdown& shutdown) {
  const bool repeated = lifecycle_.is_shutting_down();
  lifecycle_.begin_shutdown(use_.clock.now(), shutdown.has_successor, shutdown.max_duration);
  if (!repeated) use_.timers.schedule(lifecycle_.shutdown_deadline(), ShutdownDeadline{});
  update();
}

void ServiceController::handle(const StartDraining&) {
  lifecycle_.start_draining(use_.clock.now());
  update();
}

void ServiceController::handle(const IdleSessionTimer&) {
  idle_timer_scheduled_ = false;
  update();
}

// Failure: a planned restart cuts off what is open. Symptom: clients wait for answers that never come. Guard:
// each is answered now, and may ask elsewhere.
void ServiceController::handle(const ShutdownDeadline&) {
  while (const auto query = use_.requests.first_open_call()) {
    const Request& request = use_.requests.at(*query);
    const auto& cls = use_.config.settings.classes[static_cast<std::size_t>(request.received.query_class)];
    if (request.attempt_count == 0 || cls.idempotency == policy::Idempotency::idempotent)
      use_.responder.reject(request.received, Duration{});
    else
      use_.responder.fail(request.received, "Leaving");
    use_.responder.abandon(*query);
  }
}

void ServiceController::update() {
  const Time now = use_.clock.now();
  lifecycle_.tick(now, use_.sessions.any_closing());
  std::optional<Duration> min_idle;
  if (lifecycle_.closes_idle_connections(now))
    min_idle = lifecycle_.accepts_requests(now) ? kMinSessionIdle : Duration{};
  for (const SessionId session : use_.sessions.take_idle(now, min_idle))
    use_.responder.close_if_idle(session);
  if (!min_idle || idle_timer_scheduled_) return;
  idle_timer_scheduled_ = true;
  use_.timers.schedule(now + kIdleCheckInterval, IdleSessionTimer{});
}

}  // namespace yokestream::dispatch
