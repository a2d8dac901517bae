#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr Duration kSweepEvery = milliseconds(200);
// While connections are closed as they fall idle: how often they are looked at. Who asks again at once after
// each answer is not cut off just then, as its next request would cross the end of its connection; but nobody
// is spared who pauses between two requests.
constexpr Duration kCloseEvery = milliseconds(10);
constexpr Duration kSessionQuiet = milliseconds(8);
constexpr Duration kAskAfter = milliseconds(500);  // a link with something on it that is silent
// A client must hear something within 3 s, though it asks for nothing. Usual ones close after 4 s without a
// request; who then keeps the connection for good holds it for no reason.
constexpr Duration kFirstWithin = milliseconds(2200);
constexpr Duration kSessionIdle = milliseconds(6000);
constexpr Duration kSessionFresh = milliseconds(300);  // one that just came has its request on the way
constexpr std::size_t kMostOpenOnSession = 32;
constexpr Duration kSuspicion = milliseconds(1000);  // of a client whose request no engine could use
EngineConnections::Bounds link_bounds(const config::Config& config) {
  EngineConnections::Bounds bounds;
  bounds.streams = config.real.streams_per_connection;
  bounds.links = config.limits.links();
  bounds.idle = config.real.idle_close / 2;  // well before the engine closes it under a request
  bounds.ask_after = kAskAfter;
  return bounds;
}
ClientSessions::Bounds session_bounds(const config::Config& config) {
  ClientSessions::Bounds bounds;
  bounds.sessions = config.limits.sessions();
  bounds.open = kMostOpenOnSession;
  bounds.first_within = kFirstWithin;
  bounds.fresh = kSessionFresh;
  bounds.idle = kSessionIdle;
  bounds.suspicion = kSuspicion;
  return bounds;
}

// One judge of shares: where a station keeps them the module keeps no quotas.
policy::Settings module_settings(const config::Config& config) {
  policy::Settings settings = config.settings;
  if (config.door.on || config.queues.on) {
    for (auto& tenant : settings.tenants) tenant.quota_per_s = 0;
  }
  return settings;
}

// Where queues stand behind the door it lets in more than runs: they hold the rest.
door::Settings door_settings(const config::Config& config) {
  door::Settings settings = config.door;
  if (config.queues.on) settings.room = config.queues.room;
  return settings;
}

}  // namespace

Dispatcher::Dispatcher(const config::Config& config, Time now, EngineDirectory::FromUnix from_unix,
                       Budget& budget, ClientPort& clients, EnginePort& engines, Log& log,
                       std::optional<snapshot::RestoredState> inherited)
    : config_(config),
      budget_(budget),
      clients_(clients),
      engines_(engines),
      log_(log),
      directory_(config.real, std::move(from_unix)),
      links_(link_bounds(config), engines),
      sessions_(session_bounds(config)),
      controller_(module_settings(config), config.seed, now),
      now_(now),
      fronts_(config.settings.manager_count),
      figures_(config.real.classes) {
  if (inherited) {
    const bool taken = controller_.restore(inherited->state, inherited->age);
    log_.write(taken ? "took over what another process learnt of " +
                           std::to_string(inherited->state.engines.size()) + " engines"
                     : "what another process learnt is not taken over: it makes no sense here");
  }
  bool first = true;
  if (config.fleet.on) routes_.set_movable_areas(config.fleet.movable_areas);
  for (const auto& event : config.known) tell(take_list(event, std::exchange(first, false)));
  if (config.door.on)
    door_.emplace(door_settings(config), config.settings.tenants.size(), config.settings.classes.size());
  if (config.queues.on) queues_.emplace(now, config.queues, config.settings.classes.size());
  tell_stations_of_engines();
  at(now + kSweepEvery, Sweep{});
  run_controller();
  publish_engines();
}

void Dispatcher::set_peer_process_count(std::size_t others) {
  if (std::exchange(beside_, others) != others) set_manager_count(fronts_);
}

void Dispatcher::set_manager_count(double fronts) {
  fronts_ = fronts;
  controller_.set_manager_count(fronts_ * static_cast<double>(1 + beside_));
}

void Dispatcher::step(Time now) { now_ = std::max(now_, now); }

void Dispatcher::handle(Time now, Event event) {
  step(now);
  std::visit([this](auto& e) { on(std::move(e)); }, event);
  run_controller();
  if (has_stations()) look_at_stations();
  figures_.set_in_flight(calls_.size());
}

void Dispatcher::tick(Time now) {
  step(now);
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const Timer timer = std::move(timers_.extract(timers_.begin()).mapped());
    std::visit([this](const auto& t) { due(t); }, timer);
    run_controller();
    if (has_stations()) look_at_stations();
  }
  figures_.set_in_flight(calls_.size());
}

Time Dispatcher::next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first; }

// The controller hears one event at a time; what its actions bring about at once it hears afterwards, in
// turn.
void Dispatcher::run_controller() {
  while (!told_.empty()) {
    const policy::Event event = std::move(told_.front());
    told_.pop_front();
    actions_.clear();
    controller_.handle(now_, event, actions_);
    for (const auto& action : actions_) std::visit([this](const auto& a) { act(a); }, action);
  }
}

void Dispatcher::drop(Timers::iterator& timer) {
  if (timer != timers_.end()) timers_.erase(timer);
  timer = timers_.end();
}

void Dispatcher::due(const Wake& wake) { tell(policy::TimerFired{wake.token}); }

void Dispatcher::due(const Sweep&) {
  for (const EngineConnectionId link : links_.sweep(now_, directory_)) {
    engines_.close(link);
    on(EngineDisconnected{link, "it does not answer"});
  }
  look_at_service();
  finish_settled();
  directory_.forget(now_);
  routes_.retain_engines([&](const std::string& uid) { return directory_.has(uid); });
  note_stations();
  publish_engines();
  at(now_ + kSweepEvery, Sweep{});
}

void Dispatcher::look_at_service() {
  service_.tick(now_, sessions_.closing());
  const auto spared = service_.closes_idle_connections(now_)
                          ? std::optional(service_.accepts_requests(now_) ? kSessionQuiet : Duration{})
                          : std::nullopt;
  for (const SessionId session : sessions_.overdue(now_, spared)) close_idle(session);
  if (spared && !closing_) closing_ = true, at(now_ + kCloseEvery, CloseIdle{});
}

void Dispatcher::due(const CloseIdle&) {
  closing_ = false;
  look_at_service();
}

void Dispatcher::publish_engines() {
  figures_.set_engines(directory_.listed(), controller_.unavailable_engines());
}

}  // namespace yokestream::dispatch
