// The stations before the module, where they are on: the door, then the queues.
//
// Invariants. The door judges a request before the module hears of it, and once: what waits at the door is in
// `requests_` and owed an answer like any other, but unknown to the module, so nothing of it can have run and
// it may be refused. What has passed is told to the module at that moment, with the time that is left then.
// The queues judge what the door lets in, in the same way. Each station hears the end of every request that
// it was told of, when the core forgets it.
#include <algorithm>
#include <sstream>

#include "base/seconds.h"
#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::QueryId;

constexpr Duration kStationNoteEvery = std::chrono::seconds(10);

}  // namespace

// False: it was turned away, and has its answer.
bool Dispatcher::knock(const RequestReceived& arrived, QueryId query, door::Verdict* verdict) {
  const auto& cls = class_of(arrived);
  door::Arrival knock;
  knock.query = query;
  knock.member = static_cast<std::size_t>(arrived.tenant);
  knock.cls = static_cast<std::size_t>(arrived.query_class);
  knock.client = config_.door.by_connection ? static_cast<std::uint64_t>(arrived.session)
                                            : sessions_.origin(arrived.session);
  knock.told = arrived.work ? seconds_of(*arrived.work) : 0;
  knock.threads = cls.threads;
  knock.deadline = arrived.deadline;
  *verdict = door_->arrive(now_, knock);
  const bool away = verdict->ruling == door::Ruling::turn_away;
  if (away) refuse(arrived, verdict->hint);
  return !away;
}

// The queues are asked next, where they are on.
void Dispatcher::past_door(QueryId query, double cost) {
  const auto it = requests_.find(query);
  Request& request = it->second;
  if (!queues_) return introduce(query, request, cost);
  const RequestReceived& told = request.told;
  const auto verdict = queues_->arrive(now_, queue_arrival(query, told, cost));
  if (verdict.ruling != queues::Ruling::turn_away)
    clients_.attach_quote(told.session, told.call, verdict.quote);
  if (verdict.ruling == queues::Ruling::pass) return introduce(query, request, verdict.cost);
  if (verdict.ruling == queues::Ruling::turn_away) refuse_waiting(it, verdict.hint);
}

queues::Arrival Dispatcher::queue_arrival(QueryId query, const RequestReceived& told, double cost) const {
  const auto& cls = class_of(told);
  const double estimate = cost > 0 ? cost : told.work ? seconds_of(*told.work) : 0;
  queues::Arrival arrival;
  arrival.query = query;
  arrival.member = static_cast<std::size_t>(told.tenant);
  arrival.cls = static_cast<std::size_t>(told.query_class);
  arrival.told = estimate;
  arrival.threads = cls.threads;
  arrival.deadline = told.deadline;
  arrival.wanted = now_ + cls.latency_objective +
                   from_seconds(cls.latency_objective_stretch * estimate / std::max(1.0, cls.threads));
  arrival.load = cls.locks_table_group || cls.idempotency != policy::Idempotency::idempotent;
  return arrival;
}

void Dispatcher::on(const QuoteRequested& asked) {
  const RequestReceived& told = asked.request;
  if (!queues_) return on(BadRequest{told.session, told.call, "unknown class"});
  clients_.send_quote(told.session, told.call, queues_->quote(now_, queue_arrival({}, told, 0)));
  sessions_.answered(now_, told.session);
}

// It has not been told to the module: none of it can have run.
void Dispatcher::refuse_waiting(Requests::iterator it, Duration hint) {
  close_call(it->second);
  refuse(it->second.told, hint);
  forget_if_done(it);
}

bool Dispatcher::move_door() {
  const auto moved = door_ ? door_->next(now_) : std::nullopt;
  if (!moved) return false;
  if (moved->verdict.ruling == door::Ruling::pass)
    past_door(moved->query, moved->verdict.cost);
  else
    refuse_waiting(requests_.find(moved->query), moved->verdict.hint);
  return true;
}

bool Dispatcher::move_queues() {
  const auto moved = queues_ ? queues_->next(now_) : std::nullopt;
  if (!moved) return false;
  const auto it = requests_.find(moved->query);
  if (moved->verdict.ruling == queues::Ruling::pass)
    introduce(moved->query, it->second, moved->verdict.cost);
  else
    refuse_waiting(it, moved->verdict.hint);
  return true;
}

// Until nobody moves: whoever goes on at one station may make room at the one before.
void Dispatcher::look_at_stations() {
  while (move_queues() || move_door()) run_controller();
  run_controller();
  if (queues_) tell_bands();
  const Time due =
      std::min(door_ ? door_->next_due(now_) : Time::max(), queues_ ? queues_->next_due(now_) : Time::max());
  if (due == Time::max() || (station_look_ != timers_.end() && station_look_->first <= due)) return;
  drop(station_look_);
  station_look_ = at(due, StationLook{});
}

void Dispatcher::due(const StationLook&) { station_look_ = timers_.end(); }

// The one place that tells engines of priorities, with act(SetTerms), which asks the queues too.
void Dispatcher::tell_bands() {
  while (const auto change = queues_->next_band(now_)) {
    const auto it = requests_.find(change->query);
    if (it == requests_.end() || !it->second.attempt || it->second.attempt->phase != Phase::out) continue;
    engines_.set_priority(it->second.attempt->link, it->second.told.request_id, change->band);
  }
}

std::uint32_t Dispatcher::band_of(QueryId query, const Request& request, const std::string& engine) {
  return queues_ ? queues_->started(now_, query, engine, request.priority) : request.priority;
}

// This manager's part of the engines: the others' are as many and as large, as far as anyone tells.
void Dispatcher::tell_stations_of_engines() {
  if (!has_stations()) return;
  const double cores = directory_.cores_up(config_.settings.kinds) / config_.settings.manager_count;
  if (door_) door_->cores(cores);
  if (queues_) queues_->cores(now_, cores);
}

void Dispatcher::configure(Time now, const door::Settings& settings) {
  step(now);
  if (!door_ || !settings.on) return;
  door::Settings with_room = settings;
  with_room.room = door_->room();
  door_->configure(with_room);
}

void Dispatcher::configure(Time now, const queues::Settings& settings) {
  step(now);
  if (queues_ && settings.on) queues_->configure(now_, settings);
}

std::optional<door::Figures> Dispatcher::throttle_metrics() const {
  return door_ ? std::optional(door_->figures()) : std::nullopt;
}
std::optional<queues::Figures> Dispatcher::scheduler_metrics() const {
  return queues_ ? std::optional(queues_->figures()) : std::nullopt;
}

// While somebody is turned away or waits operators find the stations' figures in the log.
void Dispatcher::note_stations() {
  if (!has_stations() || now_ < next_station_note_) return;
  next_station_note_ = now_ + kStationNoteEvery;
  note_queues();
  if (!door_) return;
  const door::Figures f = door_->figures();
  if (std::exchange(noted_turned_away_, f.turned_away) == f.turned_away) return;
  std::ostringstream line;
  line.precision(3);
  line << "door arrived=" << f.arrived << " passed_at_once=" << f.passed_at_once << " waited=" << f.waited
       << " turned_away=" << f.turned_away << " early=" << f.early << " kept=" << f.kept
       << " kept_in=" << f.kept_in << " waiting=" << f.waiting << " in=" << f.in << " places=" << f.places
       << " bound=" << f.bound << " threads_in=" << f.threads_in << " drain_rate=" << f.drain_rate
       << " stretch=" << f.stretch;
  log_.write(line.str());
}

void Dispatcher::note_queues() {
  if (!queues_) return;
  const queues::Figures f = queues_->figures();
  if (std::exchange(noted_waited_, f.waited + f.turned_away) == f.waited + f.turned_away) return;
  std::ostringstream line;
  line.precision(3);
  line << "queues arrived=" << f.arrived << " passed_at_once=" << f.passed_at_once << " waited=" << f.waited
       << " turned_away=" << f.turned_away << " expired=" << f.expired << " rescued=" << f.rescued
       << " quotes=" << f.quotes << " quotes_right=" << f.quotes_right << " long_quotes=" << f.long_quotes
       << " long_quotes_right=" << f.long_quotes_right << " longest_wait=" << f.longest_wait
       << " waiting=" << f.waiting << " in=" << f.in << " sunk=" << f.sunk << " nice=" << f.nice
       << " pace=" << f.pace << " bound=" << f.bound << " threads_in=" << f.threads_in;
  log_.write(line.str());
}

}  // namespace yokestream::dispatch
