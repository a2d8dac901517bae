// The core: every request taken, every attempt out, and the controller that decides on them. Events in,
// actions out through the ports. One thread owns it; it knows no protocol, no socket and no clock of its own.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/config.h"
#include "dispatch/client_sessions.h"
#include "dispatch/engine_connections.h"
#include "dispatch/engine_directory.h"
#include "dispatch/ports.h"
#include "dispatch/request.h"
#include "dispatch/service_lifecycle.h"
#include "door/door.h"
#include "figures/figures.h"
#include "queues/queues.h"
#include "routing/outcome_tally.h"
#include "routing/router.h"
#include "snapshot/learned_state_codec.h"
#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

class Dispatcher {
 public:
  Dispatcher(const config::Config& config, Time now, EngineDirectory::FromUnix from_unix, Budget& budget,
             ClientPort& clients, EnginePort& engines, Log& log,
             std::optional<snapshot::RestoredState> inherited = std::nullopt);

  // Takes in what a reload may change of the door: weights, times and hints.
  void configure(Time now, const door::Settings& door);
  void configure(Time now, const queues::Settings& queues);  // teams may come and go
  // What the operator sees of the door; nullopt: it is off.
  std::optional<door::Figures> throttle_metrics() const;
  std::optional<queues::Figures> scheduler_metrics() const;
  const queues::Queues* scheduler() const { return queues_ ? &*queues_ : nullptr; }

  void handle(Time now, Event event);
  void tick(Time now);    // does what has fallen due
  Time next_due() const;  // when tick() has something to do

  // What the module has learnt, for a process that takes over; and that `others` of this manager serve beside
  // this one, each with its part of the load.
  policy::LearnedState learned_state() const { return controller_.learned_state(); }
  void set_peer_process_count(std::size_t others);
  // What the fleet's duties say of areas (routing.cpp). Attempts at an area that one may touch leave before
  // `until` or never (S4): whatever holds them back, and whoever stopped this process meanwhile. Where a
  // table comes, what waits goes by it at once; nothing is sent by the one before.
  void apply_routes(Time now, const routing::RouteTable& table, Time until);
  // Whether nothing is out any more that the table of now would not let out (S6): only then may it be said to
  // be acted on.
  bool conforms_to_routes() const;
  std::int64_t routes_epoch() const { return routes_.epoch(); }
  const routing::OutcomeTallies& tallies() const { return tallies_; }
  void set_manager_count(double fronts);  // 1 or more: this manager's part of the load is one over them

  std::size_t open_requests() const { return calls_.size(); }
  const ServiceLifecycle& lifecycle() const { return service_; }
  figures::Figures& metrics() { return figures_; }  // any thread may read them, while this lives
  // Told to leave, and nothing is owed or to be expected any more. Clients go on asking on connections that
  // are open, so these are closed first, each when nothing is open on it.
  bool shutdown_complete(Time now) const {
    return service_.may_exit(now) && calls_.empty() && sessions_.empty();
  }

 private:
  using Requests = std::map<policy::QueryId, Request>;
  using CallKey = std::pair<SessionId, CallId>;

  // events
  void on(const SessionOpened& began);
  void on(RequestReceived arrived);
  void on(const BadRequest& bad);
  void on(const RequestCancelled& gave_up);
  void on(const ProbeReceived& probe);
  void on(const QuoteRequested& asked);
  void on(const SessionClosed& ended);
  void on(const SessionStalled& stalled);
  void on(const EngineConnected& up);
  void on(const EngineDisconnected& ended);
  void on(const ResponseReceived& answered);
  void on(const EngineListChanged& changed);
  void on(const BeginShutdown& leave);
  void on(const StartDraining&) { service_.start_draining(now_), look_at_service(); }
  void on(const Resume&) { service_.resume(now_); }

  // timers
  void due(const Wake& wake);
  void due(const Deadline& deadline);
  void due(const Guard& guard);
  void due(const AttemptTimer& timer);
  void due(const DialAgain& timer);
  void due(const Sweep&);
  void due(const CloseIdle&);
  void due(const StationLook&);
  void due(const EndAll&);

  // actions of the controller
  void act(const policy::Send& send);
  void act(const policy::Cancel& cancel);
  void act(const policy::Reject& refuse);
  void act(const policy::Fail& fail);
  void act(const policy::SetExecutionTerms& terms);
  void act(const policy::StartTimer& wake);
  void act(const policy::Probe& probe);
  void act(const policy::BroadcastToPeers&) {}
  void act(const policy::WatchEngineList&) {}  // the feed is followed all the time
  void act(const policy::FetchEngineList&) {}

  // the stations, where they are on
  bool knock(const RequestReceived& arrived, policy::QueryId query, door::Verdict* verdict);
  void introduce(policy::QueryId query, Request& request, double cost = 0);
  void past_door(policy::QueryId query, double cost);
  queues::Arrival queue_arrival(policy::QueryId query, const RequestReceived& told, double cost) const;
  bool has_stations() const { return door_ || queues_; }
  void look_at_stations();
  bool move_door();
  bool move_queues();
  void refuse_waiting(Requests::iterator it, Duration hint);
  void tell_bands();
  void tell_stations_of_engines();
  void note_stations();
  void note_queues();
  std::uint32_t band_of(policy::QueryId query, const Request& request, const std::string& engine);

  const policy::ClassSettings& class_of(const RequestReceived& told) const {
    return config_.settings.classes[static_cast<std::size_t>(told.query_class)];
  }
  void step(Time now);
  void tell(policy::Event event) { told_.push_back(std::move(event)); }
  void run_controller();
  Timers::iterator at(Time time, Timer timer) { return timers_.emplace(time, std::move(timer)); }
  void drop(Timers::iterator& timer);
  void refuse(const RequestReceived& told, Duration come_back_after);
  void fail(const RequestReceived& told, std::string_view why);
  Request* open_call(SessionId session, CallId call, policy::QueryId* query);
  void client_left(policy::QueryId query);
  void close_call(Request& request);
  void stop_confirmed(const EngineConnection& link, const std::string& tag);
  void spoilt(EngineConnectionId link);
  void unusable(policy::QueryId query, Request& request);
  void close_idle(SessionId session);
  void finish_settled();
  void look_at_service();
  void publish_engines();
  void answered_note(policy::QueryId query, const Attempt& attempt, const EngineResponse& answer);
  void answered_served(policy::QueryId query, Request& request, EngineResponse answer);
  void answered_rows(policy::QueryId query, Request& request, EngineResponse answer);
  void serve(policy::QueryId query, Request& request);
  void give_up_attempt(policy::QueryId query, Request& request, policy::Outcome outcome);
  bool dispatch(policy::QueryId query, Request& request, const EngineRecord& engine);
  bool dial_again(policy::QueryId query, Attempt& attempt);
  bool take_back(const Attempt& attempt);
  void end_attempt(policy::QueryId query, Request& request, policy::Outcome outcome);
  void forget_if_done(Requests::iterator it);

  // routing.cpp
  routing::Route route_of(const RequestReceived& told) const;
  std::optional<policy::EngineSet> eligible(const routing::Route& route) const;
  policy::EngineList take_list(const config::MembersEvent& event, bool remembered);
  bool bars(const routing::Route& route, const std::string& uid) const;
  void tell_routes();
  void tally(const Request& request, bool served);
  void due(const RoutesEnd&);

  const config::Config& config_;
  Budget& budget_;
  ClientPort& clients_;
  EnginePort& engines_;
  Log& log_;
  EngineDirectory directory_;
  EngineConnections links_;
  ClientSessions sessions_;
  std::optional<door::Door> door_;
  std::optional<queues::Queues> queues_;
  policy::AdmissionController controller_;
  Time now_;
  Requests requests_;
  std::map<CallKey, policy::QueryId> calls_;  // the requests that are owed an answer
  std::set<std::string> ids_;                 // the clients' ids of `requests_`
  Timers timers_;
  Timers::iterator station_look_ = timers_.end();
  Time next_station_note_{};
  std::uint64_t noted_turned_away_ = 0, noted_waited_ = 0;
  std::size_t beside_ = 0;  // processes of this manager
  routing::Router routes_;
  routing::OutcomeTallies tallies_;
  double fronts_;                   // as told from outside, else by the settings
  std::deque<policy::Event> told_;  // what the controller is yet to hear
  std::vector<policy::Action> actions_;
  std::uint64_t last_query_ = 0;
  AttemptTag last_tag_ = 0;
  ServiceLifecycle service_;
  bool closing_ = false;  // a CloseIdle is among the timers
  figures::Figures figures_;
};

}  // namespace yokestream::dispatch
