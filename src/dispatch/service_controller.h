// Carries out the service lifecycle: closes idle client sessions when its state requires it, and answers all
// open requests at the shutdown deadline.
//
// Owns the ServiceLifecycle and whether a timer for idle sessions is scheduled. In a graceful shutdown,
// requests that arrive early are served and later ones are rejected. At the deadline every open request is
// answered: it is rejected if no attempt was sent or if it is idempotent, and fails otherwise. Not
// thread-safe.
#pragma once

#include "config/config.h"
#include "dispatch/client_responder.h"
#include "dispatch/service_lifecycle.h"

namespace yokestream::dispatch {

class ServiceController {
 public:
  struct Dependencies {
    const config::Config& config;
    const DispatchClock& clock;
    ClientSessions& sessions;
    RequestTable& requests;
    TimerQueue& timers;
    ClientResponder& responder;
  };
  explicit ServiceController(const Dependencies& dependencies) : deps_(dependencies) {}

  const ServiceLifecycle& lifecycle() const { return lifecycle_; }

  void handle(const BeginShutdown& shutdown);
  void handle(const StartDraining&);
  void handle(const Resume&) { lifecycle_.resume(deps_.clock.now()); }
  void handle(const IdleSessionTimer&);
  void handle(const ShutdownDeadline&);
  // Advances the lifecycle and closes the sessions that were idle for longer than its state allows.
  void update();

 private:
  Dependencies deps_;
  ServiceLifecycle lifecycle_;
  bool idle_timer_scheduled_ = false;
};

}  // namespace yokestream::dispatch
