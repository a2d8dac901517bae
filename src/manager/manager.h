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
#include "door/door.h"
#include "figures/figures.h"
#include "learnt/codec.h"
#include "lynxstand/admission.h"
#include "manager/directory.h"
#include "manager/links.h"
#include "manager/ports.h"
#include "manager/request.h"
#include "manager/service.h"
#include "manager/sessions.h"
#include "queues/queues.h"
#include "routes/routes.h"
#include "routes/tally.h"

namespace yokestream::manager {

class Manager {
 public:
  Manager(const config::Config& config, Time now, Directory::FromUnix from_unix, Budget& budget,
          ClientPort& clients, EnginePort& engines, Log& log,
          std::optional<learnt::Inherited> inherited = std::nullopt);

  // Takes in what a reload may change of the door: weights, times and hints.
  void configure(Time now, const door::Settings& door);
  void configure(Time now, const queues::Settings& queues);  // teams may come and go
  // What the operator sees of the door; nullopt: it is off.
  std::optional<door::Figures> door_figures() const;
  std::optional<queues::Figures> queue_figures() const;
  const queues::Queues* queues() const { return queues_ ? &*queues_ : nullptr; }

  void handle(Time now, Event event);
  void tick(Time now);    // does what has fallen due
  Time next_due() const;  // when tick() has something to do

  // What the module has learnt, for a process that takes over; and that `others` of this manager serve beside
  // this one, each with its part of the load.
  lynxstand::Learnt learnt() const { return controller_.learnt(); }
  void serve_beside(std::size_t others);
  // What the fleet's duties say of areas (routing.cpp). Attempts at an area that one may touch leave before
  // `until` or never (S4): whatever holds them back, and whoever stopped this process meanwhile. Where a
  // table comes, what waits goes by it at once; nothing is sent by the one before.
  void route(Time now, const routes::Table& table, Time until);
  // Whether nothing is out any more that the table of now would not let out (S6): only then may it be said to
  // be acted on.
  bool keeps_to_routes() const;
  std::int64_t routes_epoch() const { return routes_.epoch(); }
  const routes::Tallies& tallies() const { return tallies_; }
  void count_fronts(double fronts);  // 1 or more: this manager's part of the load is one over them

  std::size_t open_requests() const { return calls_.size(); }
  const Service& service() const { return service_; }
  figures::Figures& figures() { return figures_; }  // any thread may read them, while this lives
  // Told to leave, and nothing is owed or to be expected any more. Clients go on asking on connections that
  // are open, so these are closed first, each when nothing is open on it.
  bool left(Time now) const { return service_.may_end(now) && calls_.empty() && sessions_.empty(); }

 private:
  using Requests = std::map<lynxstand::QueryId, Request>;
  using CallKey = std::pair<SessionId, CallId>;

  // events
  void on(const SessionBegan& began);
  void on(Arrived arrived);
  void on(const BadRequest& bad);
  void on(const GaveUp& gave_up);
  void on(const ProbeAsked& probe);
  void on(const QuoteAsked& asked);
  void on(const SessionEnded& ended);
  void on(const SessionStalled& stalled);
  void on(const LinkUp& up);
  void on(const LinkEnded& ended);
  void on(const Answered& answered);
  void on(const ListChanged& changed);
  void on(const Leave& leave);
  void on(const Evacuate&) { service_.evacuate(now_), look_at_service(); }
  void on(const Activate&) { service_.activate(now_); }

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
  void act(const lynxstand::Send& send);
  void act(const lynxstand::Cancel& cancel);
  void act(const lynxstand::Refuse& refuse);
  void act(const lynxstand::Fail& fail);
  void act(const lynxstand::SetTerms& terms);
  void act(const lynxstand::WakeAfter& wake);
  void act(const lynxstand::Probe& probe);
  void act(const lynxstand::TellPeers&) {}
  void act(const lynxstand::FollowList&) {}  // the feed is followed all the time
  void act(const lynxstand::FetchList&) {}

  // the stations, where they are on
  bool knock(const Arrived& arrived, lynxstand::QueryId query, door::Verdict* verdict);
  void introduce(lynxstand::QueryId query, Request& request, double cost = 0);
  void past_door(lynxstand::QueryId query, double cost);
  queues::Arrival queue_arrival(lynxstand::QueryId query, const Arrived& told, double cost) const;
  bool has_stations() const { return door_ || queues_; }
  void look_at_stations();
  bool move_door();
  bool move_queues();
  void refuse_waiting(Requests::iterator it, Duration hint);
  void tell_bands();
  void tell_stations_of_engines();
  void note_stations();
  void note_queues();
  std::uint32_t band_of(lynxstand::QueryId query, const Request& request, const std::string& engine);

  const lynxstand::ClassSettings& class_of(const Arrived& told) const {
    return config_.settings.classes[static_cast<std::size_t>(told.cls)];
  }
  void step(Time now);
  void tell(lynxstand::Event event) { told_.push_back(std::move(event)); }
  void run_controller();
  Timers::iterator at(Time time, Timer timer) { return timers_.emplace(time, std::move(timer)); }
  void drop(Timers::iterator& timer);
  void refuse(const Arrived& told, Duration come_back_after);
  void fail(const Arrived& told, std::string_view why);
  Request* open_call(SessionId session, CallId call, lynxstand::QueryId* query);
  void client_left(lynxstand::QueryId query);
  void close_call(Request& request);
  void stop_confirmed(const Link& link, const std::string& tag);
  void spoilt(LinkId link);
  void unusable(lynxstand::QueryId query, Request& request);
  void close_idle(SessionId session);
  void finish_settled();
  void look_at_service();
  void publish_engines();
  void answered_note(lynxstand::QueryId query, const Attempt& attempt, const EngineAnswer& answer);
  void answered_served(lynxstand::QueryId query, Request& request, EngineAnswer answer);
  void answered_rows(lynxstand::QueryId query, Request& request, EngineAnswer answer);
  void serve(lynxstand::QueryId query, Request& request);
  void give_up_attempt(lynxstand::QueryId query, Request& request, lynxstand::Outcome outcome);
  bool dispatch(lynxstand::QueryId query, Request& request, const EngineRecord& engine);
  bool dial_again(lynxstand::QueryId query, Attempt& attempt);
  bool take_back(const Attempt& attempt);
  void end_attempt(lynxstand::QueryId query, Request& request, lynxstand::Outcome outcome);
  void forget_if_done(Requests::iterator it);

  // routing.cpp
  routes::Route route_of(const Arrived& told) const;
  std::optional<lynxstand::EngineSet> eligible(const routes::Route& route) const;
  lynxstand::EngineList take_list(const config::MembersEvent& event, bool remembered);
  bool bars(const routes::Route& route, const std::string& uid) const;
  void tell_routes();
  void tally(const Request& request, bool served);
  void due(const RoutesEnd&);

  const config::Config& config_;
  Budget& budget_;
  ClientPort& clients_;
  EnginePort& engines_;
  Log& log_;
  Directory directory_;
  Links links_;
  Sessions sessions_;
  std::optional<door::Door> door_;
  std::optional<queues::Queues> queues_;
  lynxstand::AdmissionController controller_;
  Time now_;
  Requests requests_;
  std::map<CallKey, lynxstand::QueryId> calls_;  // the requests that are owed an answer
  std::set<std::string> ids_;                    // the clients' ids of `requests_`
  Timers timers_;
  Timers::iterator station_look_ = timers_.end();
  Time next_station_note_{};
  std::uint64_t noted_turned_away_ = 0, noted_waited_ = 0;
  std::size_t beside_ = 0;  // processes of this manager
  routes::Routes routes_;
  routes::Tallies tallies_;
  double fronts_;                      // as told from outside, else by the settings
  std::deque<lynxstand::Event> told_;  // what the controller is yet to hear
  std::vector<lynxstand::Action> actions_;
  std::uint64_t last_query_ = 0;
  SendTag last_tag_ = 0;
  Service service_;
  bool closing_ = false;  // a CloseIdle is among the timers
  figures::Figures figures_;
};

}  // namespace yokestream::manager
