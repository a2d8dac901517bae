// The way of a request from its arrival to the decision module: checks, then the admission stages.
//
//   handle(RequestReceived) -> offer_to_throttle -> after_throttle (scheduler) -> submit_to_policy
//
// Owns the handle of the stages' timer. Invariants: every request that arrives is answered at once, queued in
// a stage, or submitted to the decision module; one in the RequestTable has a watchdog past its deadline, so
// that whatever else goes wrong it is answered. One thread.
#pragma once

#include "config/config.h"
#include "dispatch/admission_stages.h"
#include "dispatch/budget.h"
#include "dispatch/client_responder.h"
#include "dispatch/service_lifecycle.h"

namespace yokestream::dispatch {

class RequestAdmission {
 public:
  struct Collaborators {
    const config::Config& config;
    const DispatchClock& clock;
    Budget& budget;
    ClientPort& clients;
    Log& log;
    const ServiceLifecycle& service;
    ClientSessions& sessions;
    AdmissionStages& stages;
    RouteGuard& routes;
    RequestTable& requests;
    TimerQueue& timers;
    ClientResponder& responder;
    PolicyEventQueue& policy_events;
  };
  explicit RequestAdmission(const Collaborators& collaborators)
      : use_(collaborators), stage_timer_(collaborators.timers.none()) {}

  void handle(RequestReceived request);
  void handle(const QuoteRequested& quote);
  void handle(const StageTimer&) { stage_timer_ = use_.timers.none(); }

  // Moves one waiting request out of a stage; false: none may move.
  bool advance_one();
  // Sees to it that a timer fires when a stage may move a request next.
  void schedule_stage_timer();

 private:
  bool answered_at_once(const RequestReceived& request);
  bool rejected_by_throttle(policy::QueryId query, const RequestReceived& request,
                            throttle::Admission* verdict);
  void keep_deadline_margin(RequestReceived& request) const;
  void after_throttle(policy::QueryId query, double cost_s);
  void submit_to_policy(policy::QueryId query, double cost_s);
  bool advance_throttle();
  bool advance_scheduler();

  Collaborators use_;
  TimerQueue::Handle stage_timer_;
};

}  // namespace yokestream::dispatch
