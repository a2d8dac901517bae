// Carries out the service lifecycle: closes idle client sessions as its state asks, and answers whatever is
// open at the shutdown deadline.
//
// Owns the ServiceLifecycle and whether a timer for idle sessions is scheduled. In a graceful shutdown, who
// comes in the first while is served, who comes later is rejected, and by the deadline everybody has an
// answer: a request of which no attempt was sent, or that is idempotent, is rejected; any other one fails.
// One thread.
#pragma once

#include "config/config.h"
#include "dispatch/client_responder.h"
#include "dispatch/service_lifecycle.h"

namespace yokestream::dispatch {

class ServiceController {
 public:
  struct Collaborators {
    const config::Config& config;
    const DispatchClock& clock;
    ClientSessions& sessions;
    RequestTable& requests;
    TimerQueue& timers;
    ClientResponder& responder;
  };
  explicit ServiceController(const Collaborators& collaborators) : use_(collaborators) {}

  const ServiceLifecycle& lifecycle() const { return lifecycle_; }

  void handle(const BeginShutdown& shutdown);
  void handle(const StartDraining&);
  void handle(const Resume&) { lifecycle_.resume(use_.clock.now()); }
  void handle(const IdleSessionTimer&);
  void handle(const ShutdownDeadline&);
  // Advances the lifecycle and closes the sessions that are idle for too long in its state.
  void update();

 private:
  Collaborators use_;
  ServiceLifecycle lifecycle_;
  bool idle_timer_scheduled_ = false;
};

}  // namespace yokestream::dispatch
