#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace yokestream::dispatch {
namespace {

using policy::QueryId;
using std::chrono::milliseconds;

constexpr Duration kMaintenanceInterval = milliseconds(200);
constexpr Duration kConnectionCheckAfter = milliseconds(500);  // one in use that is silent is pinged
// A client must be answered within 3 s, though it asks for nothing. Usual ones close after 4 s without a
// request; one that keeps the connection longer holds it for no reason.
constexpr Duration kFirstRequestTimeout = milliseconds(2200);
constexpr Duration kSessionIdleTimeout = milliseconds(6000);
constexpr Duration kNewSessionGrace = milliseconds(300);  // its first request is on the way
constexpr std::size_t kMaxOpenRequestsPerSession = 32;
constexpr Duration kSuspicionDuration = milliseconds(1000);  // of a client whose request no engine could run

EngineConnections::Limits connection_limits(const config::Config& config) {
  EngineConnections::Limits limits;
  limits.streams_per_connection = config.real.streams_per_connection;
  limits.connections = config.limits.links();
  limits.idle_timeout = config.real.idle_close / 2;  // well before the engine closes it under a request
  limits.check_after = kConnectionCheckAfter;
  return limits;
}

ClientSessions::Limits session_limits(const config::Config& config) {
  ClientSessions::Limits limits;
  limits.sessions = config.limits.sessions();
  limits.open_requests = kMaxOpenRequestsPerSession;
  limits.first_request_timeout = kFirstRequestTimeout;
  limits.new_session_grace = kNewSessionGrace;
  limits.idle_timeout = kSessionIdleTimeout;
  limits.suspicion = kSuspicionDuration;
  return limits;
}

// Quotas are kept in one place: where a stage keeps them the decision module has none.
policy::Settings policy_settings(const config::Config& config) {
  policy::Settings settings = config.settings;
  if (config.door.on || config.queues.on) {
    for (auto& tenant : settings.tenants) tenant.quota_per_s = 0;
  }
  return settings;
}

}  // namespace

Dispatcher::Dispatcher(const config::Config& config, Time now, EngineDirectory::FromUnix from_unix,
                       Budget& budget, ClientPort& clients, EnginePort& engines, Log& log,
                       std::optional<snapshot::RestoredState> inherited)
    : config_(config),
      log_(log),
      clock_(now),
      directory_(config.real, std::move(from_unix)),
      connections_(connection_limits(config), engines),
      sessions_(session_limits(config)),
      routes_(config),
      stages_(config, now, log),
      requests_(clock_, timers_, stages_),
      metrics_(config.real.classes),
      responder_({config, clock_, clients, sessions_, requests_, routes_, policy_events_, metrics_}),
      service_({config, clock_, sessions_, requests_, timers_, responder_}),
      admission_({config, clock_, budget, clients, log, service_.lifecycle(), sessions_, stages_, routes_,
                  requests_, timers_, responder_, policy_events_}),
      attempts_({config, clock_, clients, engines, log, directory_, connections_, stages_, routes_, requests_,
                 timers_, responder_, policy_events_}),
      responses_({clock_, budget, engines, log, connections_, sessions_, requests_, attempts_, responder_,
                  policy_events_}),
      controller_(policy_settings(config), config.seed, now),
      manager_count_(config.settings.manager_count) {
  if (inherited) restore(*inherited);
  bool cached = true;  // only the first of the known lists is from before this process
  for (const auto& event : config.known) apply_engine_list(event, std::exchange(cached, false));
  notify_stages_of_cores();
  timers_.schedule(now + kMaintenanceInterval, MaintenanceTimer{});
  run_controller();
  publish_engine_counts();
}

void Dispatcher::restore(const snapshot::RestoredState& inherited) {
  const bool restored = controller_.restore(inherited.state, inherited.age);
  log_.write(restored ? "took over what another process learnt of " +
                            std::to_string(inherited.state.engines.size()) + " engines"
                      : "what another process learnt is not taken over: it makes no sense here");
}

void Dispatcher::set_peer_process_count(std::size_t others) {
  if (std::exchange(peer_processes_, others) != others) set_manager_count(manager_count_);
}

void Dispatcher::set_manager_count(double managers) {
  manager_count_ = managers;
  controller_.set_manager_count(manager_count_ * static_cast<double>(1 + peer_processes_));
}

void Dispatcher::configure(Time now, const throttle::Settings& settings) {
  clock_.advance_to(now);
  stages_.configure_throttle(settings);
}

void Dispatcher::configure(Time now, const scheduler::Settings& settings) {
  clock_.advance_to(now);
  stages_.configure_scheduler(clock_.now(), settings);
}

void Dispatcher::apply_routes(Time now, const routing::RouteTable& table, Time until) {
  clock_.advance_to(now);
  routes_.apply(table, until);
  if (until > clock_.now() && until != Time::max()) timers_.schedule(until, RouteLeaseExpiry{});
  attempts_.enforce_routes();
  run_controller();
  advance_stages();
}

void Dispatcher::handle(Time now, Event event) {
  clock_.advance_to(now);
  std::visit([this](auto& received) { on(std::move(received)); }, event);
  run_controller();
  advance_stages();
  metrics_.set_in_flight(requests_.open_call_count());
}

void Dispatcher::tick(Time now) {
  clock_.advance_to(now);
  while (const auto timer = timers_.pop_due(clock_.now())) {
    std::visit([this](const auto& due) { on(due); }, *timer);
    run_controller();
    advance_stages();
  }
  metrics_.set_in_flight(requests_.open_call_count());
}

void Dispatcher::run_controller() {
  while (const auto event = policy_events_.pop()) {
    actions_.clear();
    controller_.handle(clock_.now(), *event, actions_);
    for (const auto& action : actions_) std::visit([this](const auto& each) { act(each); }, action);
  }
}

// Until no request moves: one that leaves a stage may make room in the stage before.
void Dispatcher::advance_stages() {
  if (!stages_.enabled()) return;
  while (admission_.advance_one()) run_controller();
  run_controller();
  attempts_.send_band_changes();
  admission_.schedule_stage_timer();
}

void Dispatcher::on(const SessionOpened& opened) {
  const auto victim = sessions_.add(clock_.now(), opened.session, opened.origin);
  if (victim) responder_.close_if_idle(*victim);
}

void Dispatcher::on(const RequestCancelled& cancelled) {
  const auto query = requests_.find_open_call(cancelled.session, cancelled.call);
  if (query) responder_.abandon(*query);
}

void Dispatcher::on(const SessionClosed& closed) {
  const std::vector<QueryId> open = requests_.open_calls_of(closed.session);
  // A client that did not leave of its own will loses its open requests: the log has the cause.
  if (!open.empty())
    log_.write("client connection closed: open_requests=" + std::to_string(open.size()) + " cause=\"" +
               closed.cause + "\"");
  for (const QueryId query : open) responder_.abandon(query);
  sessions_.remove(closed.session);
}

void Dispatcher::on(const SessionStalled& stalled) {
  sessions_.mark_stalled(stalled.session);
  responder_.close_finished_stalled();
}

void Dispatcher::on(const EngineListChanged& changed) {
  apply_engine_list(changed.event, false);
  attempts_.enforce_routes();
  notify_stages_of_cores();
  attempts_.withdraw_from_unavailable();
}

// The decision module gets the list with the slots by which engine sets name engines.
void Dispatcher::apply_engine_list(const config::MembersEvent& event, bool cached) {
  policy::EngineList list = directory_.apply(clock_.now(), event, cached);
  routes_.assign_slots(event, list);
  policy_events_.push(std::move(list));
}

// This manager's part of the engines: the other managers are assumed to be equal.
void Dispatcher::notify_stages_of_cores() {
  if (!stages_.enabled()) return;
  const double cores = directory_.cores_up(config_.settings.kinds);
  stages_.set_cores(clock_.now(), cores / config_.settings.manager_count);
}

// Failure: something above lost a request. Symptom: its client waits for ever. Guard: this is the last moment
// at which every request is answered.
void Dispatcher::on(const DeadlineWatchdog& watchdog) {
  log_.write("request failed by its deadline watchdog: cause=\"nothing else answered it\"");
  Request& request = requests_.at(watchdog.query);
  request.watchdog = timers_.none();
  responder_.fail(request.received, "Late");
  responder_.abandon(watchdog.query);
}

void Dispatcher::on(const MaintenanceTimer&) {
  for (const EngineConnectionId connection : connections_.check(clock_.now(), directory_))
    attempts_.close_connection(connection, "no response to a ping");
  service_.update();
  responder_.close_finished_stalled();
  directory_.forget_gone(clock_.now());
  routes_.retain_engines([this](const std::string& uid) { return directory_.has(uid); });
  stages_.log_metrics_if_due(clock_.now());
  publish_engine_counts();
  timers_.schedule(clock_.now() + kMaintenanceInterval, MaintenanceTimer{});
}

void Dispatcher::on(const RouteLeaseExpiry&) {
  if (clock_.now() >= routes_.lease_expiry()) attempts_.enforce_routes();
}

void Dispatcher::act(const policy::StartTimer& timer) {
  timers_.schedule(clock_.now() + timer.delay, PolicyTimer{timer.token});
}

// Engines are not probed here; a decision module that asks for it is notified so.
void Dispatcher::act(const policy::Probe& probe) {
  policy_events_.push(policy::ProbeEnded{probe.engine, policy::Outcome::unreachable, {}, {}});
}

void Dispatcher::publish_engine_counts() {
  metrics_.set_engines(directory_.listed_count(), controller_.unavailable_engines());
}

}  // namespace yokestream::dispatch
