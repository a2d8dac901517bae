// Takes a request from its arrival to the decision module: first the checks, then the admission stages.
//
//   handle(RequestReceived) -> offer_to_throttle -> on_throttle_passed (scheduler) -> submit_to_policy
//
// Owns the handle of the stages' timer. Invariants: every request that arrives is answered immediately,
// queued in a stage, or submitted to the decision module. Each request in the RequestTable has a watchdog
// timer after its deadline, so that it is answered whatever else goes wrong. Not thread-safe.
#pragma once

#include "config/config.h"
#include "dispatch/admission_stages.h"
#include "dispatch/budget.h"
#include "dispatch/client_responder.h"
#include "dispatch/service_lifecycle.h"

namespace yokestream::dispatch {

class RequestAdmission {
 public:
  struct Dependencies {
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
  explicit RequestAdmission(const Dependencies& dependencies)
      : deps_(dependencies), stage_timer_(dependencies.timers.none()) {}

  void handle(RequestReceived request);
  void handle(const QuoteRequested& quote);
  void handle(const StageTimer&) { stage_timer_ = deps_.timers.none(); }

  // Moves one queued request out of a stage. Returns false if no request can move.
  bool advance_one();
  // Schedules a timer for the time at which a stage may move a request next.
  void schedule_stage_timer();

 private:
  bool answer_immediately(const RequestReceived& request);
  std::optional<metrics::RejectionCause> reached_limit(const RequestReceived& request) const;
  // Offers the request to the throttle. Returns true if the throttle has rejected the request, which is then
  // answered. `throttle_verdict`: set to what the throttle decided, in any case.
  bool reject_by_throttle(policy::QueryId query, const RequestReceived& request,
                          throttle::Admission* throttle_verdict);
  void apply_deadline_margin(RequestReceived& request) const;
  void on_throttle_passed(policy::QueryId query, double cost_s);
  void submit_to_policy(policy::QueryId query, double cost_s);
  bool advance_throttle();
  bool advance_scheduler();

  Dependencies deps_;
  TimerQueue::Handle stage_timer_;
};

}  // namespace yokestream::dispatch
