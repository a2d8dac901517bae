// The core of the manager: every request that was accepted, every attempt in flight, and the decision module
// that decides on them. Events in, actions out through the ports.
//
// Composes the types below, each of which owns its state and says so in its header; it owns the order in
// which they run: an event or a timer, then the decision module until it has nothing more to handle, then the
// admission stages. It knows no protocol, no socket and no clock of its own. One thread owns it; only
// metrics() may be read by others.
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
#include "figures/figures.h"
#include "snapshot/learned_state_codec.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

class Dispatcher {
 public:
  // All references must outlive the dispatcher. `inherited`: what a process that this one succeeds has
  // learned.
  Dispatcher(const config::Config& config, Time now, EngineDirectory::FromUnix from_unix, Budget& budget,
             ClientPort& clients, EnginePort& engines, Log& log,
             std::optional<snapshot::RestoredState> inherited = std::nullopt);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  // Applies what a reload may change of the throttle (weights, times and hints) and the scheduler (teams
  // too).
  void configure(Time now, const throttle::Settings& settings);
  void configure(Time now, const scheduler::Settings& settings);
  // What operators see of the stages; nullopt or nullptr: the stage is off.
  std::optional<throttle::Metrics> throttle_metrics() const { return stages_.throttle_metrics(); }
  std::optional<scheduler::Figures> scheduler_metrics() const { return stages_.scheduler_metrics(); }
  const scheduler::Scheduler* scheduler() const { return stages_.scheduler(); }

  void handle(Time now, Event event);
  void tick(Time now);                                  // fires the timers that are due
  Time next_due() const { return timers_.next_due(); }  // when tick() has something to do

  // What the decision module has learned, for a process that succeeds this one.
  policy::LearnedState learned_state() const { return controller_.learned_state(); }
  // `others` processes of this manager serve as well, each with its part of the load.
  void set_peer_process_count(std::size_t others);
  // 1 or more: this manager's part of the load is one over them.
  void set_manager_count(double managers);

  // Installs a routing table. Attempts in areas that it touches leave before `until` or never (S4), whatever
  // holds them back. What is queued goes by it at once; nothing is sent by the earlier one.
  void apply_routes(Time now, const routing::RouteTable& table, Time until);
  // Whether nothing is in flight any more that the present table would not let out (S6): only then may it be
  // reported as applied.
  bool conforms_to_routes() const { return attempts_.conforms_to_routes(); }
  std::int64_t routes_epoch() const { return routes_.epoch(); }
  const routing::OutcomeTallies& tallies() const { return routes_.tallies(); }

  std::size_t open_requests() const { return requests_.open_call_count(); }
  const ServiceLifecycle& lifecycle() const { return service_.lifecycle(); }
  figures::Figures& metrics() { return metrics_; }  // any thread may read them, while this lives
  // Shutting down, and nothing is owed or to be expected any more. Clients go on asking on open connections,
  // so these are closed first, each when nothing is open on it.
  bool shutdown_complete(Time now) const {
    return lifecycle().may_exit(now) && open_requests() == 0 && sessions_.empty();
  }

 private:
  // Events.
  void on(const SessionOpened& opened);
  void on(RequestReceived request) { admission_.handle(std::move(request)); }
  void on(const BadRequest& bad) { responder_.fail(bad); }
  void on(const RequestCancelled& cancelled);
  void on(const ProbeReceived& probe) { responder_.send_readiness(probe, lifecycle().is_ready()); }
  void on(const QuoteRequested& quote) { admission_.handle(quote); }
  void on(const SessionClosed& closed);
  void on(const SessionStalled& stalled);
  void on(const EngineConnected& connected) { attempts_.handle(connected); }
  void on(const EngineDisconnected& disconnected) { attempts_.handle(disconnected); }
  void on(const ResponseReceived& response) { responses_.handle(response); }
  void on(const EngineListChanged& changed);
  void on(const BeginShutdown& shutdown) { service_.handle(shutdown); }
  void on(const StartDraining& drain) { service_.handle(drain); }
  void on(const Resume& resume) { service_.handle(resume); }

  // Timers.
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

  // Actions of the decision module.
  void act(const policy::Send& send) { attempts_.handle(send); }
  void act(const policy::Cancel& cancel) { attempts_.handle(cancel); }
  void act(const policy::Reject& rejection) { responder_.handle(rejection); }
  void act(const policy::Fail& failure) { responder_.handle(failure); }
  void act(const policy::SetExecutionTerms& terms) { attempts_.handle(terms); }
  void act(const policy::StartTimer& timer);
  void act(const policy::Probe& probe);
  void act(const policy::BroadcastToPeers&) {}  // none of its peers is asked here
  void act(const policy::WatchEngineList&) {}   // the engine list is watched all the time
  void act(const policy::FetchEngineList&) {}

  void restore(const snapshot::RestoredState& inherited);
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
  figures::Figures metrics_;
  ClientResponder responder_;
  ServiceController service_;
  RequestAdmission admission_;
  AttemptTracker attempts_;
  ResponseHandler responses_;
  policy::AdmissionController controller_;
  std::vector<policy::Action> actions_;  // of the event that the decision module handled last
  std::size_t peer_processes_ = 0;
  double manager_count_;  // as notified, else by the settings
};

}  // namespace yokestream::dispatch
