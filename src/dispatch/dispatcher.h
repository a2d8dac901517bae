// The core of the manager: all accepted requests, all attempts in flight, and the decision module
// (policy::AdmissionController) that decides about them. It receives events and acts through the ports.
//
// It is composed of the classes below, each of which documents the state that it owns. The dispatcher
// determines the order in which they run: an event or a timer, then the decision module until its event queue
// is empty, then the admission stages. It is independent of protocols and sockets, and has no clock of its
// own. Not thread-safe, except that any thread may read metrics().
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "dispatch/admission_stages.h"
#include "dispatch/attempt_tracker.h"
#include "dispatch/client_responder.h"
#include "dispatch/client_sessions.h"
#include "dispatch/engine_connections.h"
#include "dispatch/engine_directory.h"
#include "dispatch/policy_event_queue.h"
#include "dispatch/ports.h"
#include "dispatch/request_admission.h"
#include "dispatch/request_table.h"
#include "dispatch/response_handler.h"
#include "dispatch/route_guard.h"
#include "dispatch/service_controller.h"
#include "dispatch/timer_queue.h"
#include "metrics/metrics.h"
#include "snapshot/learned_state_codec.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

class Dispatcher {
 public:
  // All references must outlive the dispatcher. `predecessor_state`: the learned state of the process that
  // this one replaces.
  Dispatcher(const config::Config& config, Time now, EngineDirectory::SteadyFromUnix steady_from_unix,
             Budget& budget, ClientPort& clients, EnginePort& engines, Log& log,
             std::optional<snapshot::RestoredState> predecessor_state = std::nullopt);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Apply the settings that a reload may change, among them: for the throttle the weights, the waiting and
  // reservation times and the maximum retry-after time; for the scheduler the teams with their shares, the
  // waiting times and the maximum retry-after time.
  void configure(Time now, const throttle::Settings& settings);
  void configure(Time now, const scheduler::Settings& settings);
  // For the operators; nullopt or nullptr if the stage is disabled.
  std::optional<throttle::Metrics> throttle_metrics() const { return stages_.throttle_metrics(); }
  std::optional<scheduler::Metrics> scheduler_metrics() const { return stages_.scheduler_metrics(); }
  const scheduler::Scheduler* scheduler() const { return stages_.scheduler(); }

  void handle(Time now, Event event);
  void tick(Time now);                                  // fires the timers that are due
  Time next_due() const { return timers_.next_due(); }  // when the next timer is due

  // The learned state of the decision module, for the process that replaces this one.
  policy::LearnedState learned_state() const { return controller_.learned_state(); }
  // Sets the number of other processes of this manager that serve a share of its load.
  void set_peer_process_count(std::size_t count);
  // Sets the number of managers, 1 or more; this manager's share of the load is 1 / `count`.
  void set_manager_count(double count);

  // Installs a routing table. An attempt in a movable area is written to its engine before `lease_expiry`, or
  // not at all if it is delayed beyond that. Queued requests use the new table immediately; no further
  // attempt is sent under the old table.
  void apply_routes(Time now, const routing::RouteTable& table, Time lease_expiry);
  // Returns true if the current table allows every attempt in flight. Only then may the table be reported as
  // applied.
  bool conforms_to_routes() const { return attempts_.conforms_to_routes(); }
  std::int64_t routes_epoch() const { return routes_.epoch(); }
  const routing::OutcomeTallies& outcome_tallies() const { return routes_.outcome_tallies(); }

  std::size_t open_requests() const { return requests_.open_call_count(); }
  const ServiceLifecycle& lifecycle() const { return service_.lifecycle(); }
  metrics::Metrics& metrics() { return *metrics_; }  // any thread may read them during the dispatcher's life
  std::shared_ptr<metrics::Metrics> shared_metrics() { return metrics_; }  // for what outlives the dispatcher
  // Returns true if the shutdown is finished: no request is open and no more can arrive. Clients keep sending
  // requests on open connections, so all connections must be closed first, each when it has no open request.
  bool shutdown_complete(Time now) const {
    return lifecycle().may_exit(now) && open_requests() == 0 && sessions_.empty();
  }

 private:
  // Events
  void on(const SessionOpened& opened);
  void on(RequestReceived request) { admission_.handle(std::move(request)); }
  void on(const BadRequest& bad) { responder_.fail(bad); }
  void on(const RequestCancelled& cancelled);
  void on(const ProbeReceived& probe) { responder_.send_readiness(probe, lifecycle().is_ready()); }
  void on(const QuoteRequested& quote) { admission_.handle(quote); }
  void on(const SessionClosed& closed);
  void on(const SessionStalled& stalled);
  void on(const SessionResumed& resumed) { sessions_.clear_stalled(resumed.session); }
  void on(const EngineConnected& connected) { attempts_.handle(connected); }
  void on(const EngineDisconnected& disconnected) { attempts_.handle(disconnected); }
  void on(const ResponseReceived& response) { responses_.handle(response); }
  void on(const EngineListChanged& changed);
  void on(const BeginShutdown& shutdown) { service_.handle(shutdown); }
  void on(const StartDraining& drain) { service_.handle(drain); }
  void on(const Resume& resume) { service_.handle(resume); }

  // Timers
  void on(const PolicyTimer& timer) { policy_events_.push(policy::TimerFired{timer.token}); }
  void on(const ResponseDeadline& deadline) { attempts_.handle(deadline); }
  void on(const DeadlineWatchdog& watchdog);
  void on(const AttemptTimer& timer) { attempts_.handle(timer); }
  void on(const ReconnectTimer& timer) { attempts_.handle(timer); }
  void on(const MaintenanceTimer&);
  void on(const IdleSessionTimer& timer) { service_.handle(timer); }
  void on(const StageTimer& timer) { admission_.handle(timer); }
  void on(const ShutdownDeadline& deadline) { service_.handle(deadline); }
  void on(const RouteLeaseExpiry&);

  // Actions of the decision module
  void act(const policy::Send& send) { attempts_.handle(send); }
  void act(const policy::Cancel& cancel) { attempts_.handle(cancel); }
  void act(const policy::Reject& rejection) { responder_.handle(rejection); }
  void act(const policy::Fail& failure) { responder_.handle(failure); }
  void act(const policy::SetExecutionTerms& terms) { attempts_.handle(terms); }
  void act(const policy::StartTimer& timer);
  void act(const policy::Probe& probe);
  void act(const policy::BroadcastToPeers&) {}  // managers exchange no messages here
  void act(const policy::WatchEngineList&) {}   // the engine list is always watched
  void act(const policy::FetchEngineList&) {}

  void restore(const snapshot::RestoredState& predecessor_state);
  void apply_engine_list(const config::MembersEvent& event, bool cached);
  void run_controller();
  void advance_stages();
  void notify_stages_of_cores();
  void publish_engine_counts();

  const config::Config& config_;
  Log& log_;
  DispatchClock clock_;
  TimerQueue timers_;
  PolicyEventQueue policy_events_;
  EngineDirectory directory_;
  EngineConnections connections_;
  ClientSessions sessions_;
  RouteGuard routes_;
  AdmissionStages stages_;
  RequestTable requests_;
  const std::shared_ptr<metrics::Metrics> metrics_;
  ClientResponder responder_;
  ServiceController service_;
  RequestAdmission admission_;
  AttemptTracker attempts_;
  ResponseHandler responses_;
  policy::AdmissionController controller_;
  std::vector<policy::Action> actions_;  // for the event that the decision module handled last
  std::size_t peer_process_count_ = 0;
  double manager_count_;  // from the settings until set_manager_count() is called
};

}  // namespace yokestream::dispatch
