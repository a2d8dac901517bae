#include "dispatch/dispatcher.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace yokestream::dispatch {
namespace {

using policy::QueryId;
using std::chrono::milliseconds;

constexpr Duration kMaintenanceInterval = milliseconds(200);
// A connection with requests in flight that receives nothing for this long is pinged.
constexpr Duration kPingAfterSilence = milliseconds(500);
// A client that sends no request must see a reaction within 3 s, so its connection is closed before that.
// Typical clients close their connection after 4 s without a request; one that keeps it longer only occupies
// it.
constexpr Duration kFirstRequestTimeout = milliseconds(2200);
constexpr Duration kSessionIdleTimeout = milliseconds(6000);
constexpr Duration kNewSessionGrace = milliseconds(300);  // its first request may be in transit
constexpr std::size_t kMaxOpenRequestsPerSession = 32;
// How long a client stays suspect after an engine could not run its request.
constexpr Duration kSuspectDuration = milliseconds(1000);

EngineConnections::Limits connection_limits(const config::Config& config) {
  EngineConnections::Limits limits;
  limits.streams_per_connection = config.real.streams_per_connection;
  limits.connections = config.limits.links();
  // Well before the engine closes the connection, which could cut off a request that was just sent.
  limits.idle_timeout = config.real.idle_close / 2;
  limits.check_after = kPingAfterSilence;
  return limits;
}

ClientSessions::Limits session_limits(const config::Config& config) {
  ClientSessions::Limits limits;
  limits.sessions = config.limits.sessions();
  limits.open_requests = kMaxOpenRequestsPerSession;
  limits.first_request_timeout = kFirstRequestTimeout;
  limits.new_session_grace = kNewSessionGrace;
  limits.idle_timeout = kSessionIdleTimeout;
  limits.suspect_duration = kSuspectDuration;
  return limits;
}

// Quotas are enforced in one place only: if an admission stage enforces them, the decision module gets none.
policy::Settings policy_settings(const config::Config& config) {
  policy::Settings settings = config.settings;
  if (config.door.on || config.queues.enabled) {
    for (auto& tenant : settings.tenants) tenant.quota_per_s = 0;
  }
  return settings;
}

}  // namespace

Dispatcher::Dispatcher(const config::Config& config, Time now,
                       EngineDirectory::SteadyFromUnix steady_from_unix, Budget& budget, ClientPort& clients,
                       EnginePort& engines, Log& log,
                       std::optional<snapshot::RestoredState> predecessor_state)
    : config_(config),
      log_(log),
      clock_(now),
      directory_(config.real, std::move(steady_from_unix)),
      connections_(connection_limits(config), engines),
      sessions_(session_limits(config)),
      routes_(config),
      stages_(config, now, log),
      requests_(clock_, timers_, stages_),
      metrics_(std::make_shared<metrics::Metrics>(config.real.classes)),
      responder_({config, clock_, clients, sessions_, requests_, routes_, policy_events_, *metrics_}),
      service_({config, clock_, sessions_, requests_, timers_, responder_}),
      admission_({config, clock_, budget, clients, log, service_.lifecycle(), sessions_, stages_, routes_,
                  requests_, timers_, responder_, policy_events_}),
      attempts_({config, clock_, clients, engines, log, directory_, connections_, stages_, routes_, requests_,
                 timers_, responder_, policy_events_}),
      responses_({clock_, budget, engines, log, connections_, sessions_, requests_, attempts_, responder_,
                  policy_events_}),
      controller_(policy_settings(config), config.seed, now),
      manager_count_(config.settings.manager_count) {
  if (predecessor_state) restore(*predecessor_state);
  bool cached = true;  // only the first of the known lists was stored before this process started
  for (const auto& event : config.known) apply_engine_list(event, std::exchange(cached, false));
  notify_stages_of_cores();
  timers_.schedule(now + kMaintenanceInterval, MaintenanceTimer{});
  run_controller();
  publish_engine_counts();
}

void Dispatcher::restore(const snapshot::RestoredState& predecessor_state) {
  const std::string engine_count = std::to_string(predecessor_state.state.engines.size());
  if (controller_.restore(predecessor_state.state, predecessor_state.age))
    log_.write("learned state restored:" + (" engines=" + engine_count) + " source=\"previous process\"");
  else
    log_.write("learned state rejected: cause=\"not valid for these settings\"");
}

void Dispatcher::set_peer_process_count(std::size_t count) {
  if (std::exchange(peer_process_count_, count) != count) set_manager_count(manager_count_);
}

void Dispatcher::set_manager_count(double count) {
  manager_count_ = count;
  controller_.set_manager_count(manager_count_ * static_cast<double>(1 + peer_process_count_));
}

void Dispatcher::configure(Time now, const throttle::Settings& settings) {
  clock_.advance_to(now);
  stages_.configure_throttle(settings);
}

void Dispatcher::configure(Time now, const scheduler::Settings& settings) {
  clock_.advance_to(now);
  stages_.configure_scheduler(clock_.now(), settings);
}

void Dispatcher::apply_routes(Time now, const routing::RouteTable& table, Time lease_expiry) {
  clock_.advance_to(now);
  routes_.apply(table, lease_expiry);
  if (lease_expiry > clock_.now() && lease_expiry != Time::max())
    timers_.schedule(lease_expiry, RouteLeaseExpiry{});
  attempts_.enforce_routes();
  run_controller();
  advance_stages();
}

void Dispatcher::handle(Time now, Event event) {
  clock_.advance_to(now);
  std::visit([this](auto& received) { on(std::move(received)); }, event);
  run_controller();
  advance_stages();
  metrics_->set_in_flight(requests_.open_call_count());
}

void Dispatcher::tick(Time now) {
  clock_.advance_to(now);
  while (const auto timer = timers_.pop_due(clock_.now())) {
    std::visit([this](const auto& due) { on(due); }, *timer);
    run_controller();
    advance_stages();
  }
  metrics_->set_in_flight(requests_.open_call_count());
}

void Dispatcher::run_controller() {
  while (const auto event = policy_events_.pop()) {
    actions_.clear();
    controller_.handle(clock_.now(), *event, actions_);
    for (const auto& action : actions_) std::visit([this](const auto& chosen) { act(chosen); }, action);
  }
}

// Runs until no request can move: one that leaves a stage may free capacity in the stage before it.
void Dispatcher::advance_stages() {
  if (!stages_.enabled()) return;
  while (admission_.advance_one()) run_controller();
  run_controller();
  attempts_.send_band_changes();
  admission_.schedule_stage_timer();
}

void Dispatcher::on(const SessionOpened& opened) {
  const auto evicted = sessions_.add(clock_.now(), opened.session, opened.origin);
  if (evicted) responder_.close_if_idle(*evicted);
}

void Dispatcher::on(const RequestCancelled& cancelled) {
  const auto query = requests_.find_open_call(cancelled.session, cancelled.call);
  if (query) attempts_.abandon_request(*query);
}

void Dispatcher::on(const SessionClosed& closed) {
  const std::vector<QueryId> open_queries = requests_.open_calls_of(closed.session);
  for (const QueryId query : open_queries) attempts_.abandon_request(query);
  // Logged with the cause, as the client may not have closed the connection itself.
  if (!open_queries.empty())
    log_.write("client connection closed: open_requests=" + std::to_string(open_queries.size()) +
               " cause=\"" + closed.cause + "\"");
  if (closed.requests_pending) metrics_->count_close_with_pending_requests();
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

// Passes the list to the decision module, with the slots that identify engines in engine sets.
void Dispatcher::apply_engine_list(const config::MembersEvent& event, bool cached) {
  policy::EngineList list = directory_.apply(clock_.now(), event, cached);
  routes_.assign_slots(event, list);
  policy_events_.push(std::move(list));
}

// Sets this manager's share of the cores, assuming that all managers have equal shares.
void Dispatcher::notify_stages_of_cores() {
  if (!stages_.enabled()) return;
  const double cores = directory_.cores_up(config_.settings.kinds);
  stages_.set_cores(clock_.now(), cores / config_.settings.manager_count);
}

// Failure: a defect elsewhere in the dispatcher loses a request. Symptom: its client waits forever. Guard: a
// request that is still unanswered shortly after its deadline fails here.
void Dispatcher::on(const DeadlineWatchdog& watchdog) {
  log_.write("request failed by deadline watchdog: cause=\"still unanswered after its deadline\"");
  Request& request = requests_.at(watchdog.query);
  request.watchdog_timer = timers_.none();
  responder_.fail(request.received, "Late");
  attempts_.abandon_request(watchdog.query);
}

void Dispatcher::on(const MaintenanceTimer&) {
  for (const EngineConnectionId connection : connections_.check(clock_.now(), directory_))
    attempts_.close_connection(connection, "no response to a ping");
  service_.update();
  responder_.close_finished_stalled();
  directory_.forget_gone(clock_.now());
  requests_.forget_old_executed();
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

// Engines are not probed here, so each probe is reported as unreachable.
void Dispatcher::act(const policy::Probe& probe) {
  policy_events_.push(policy::ProbeEnded{probe.engine, policy::Outcome::unreachable, {}, {}});
}

void Dispatcher::publish_engine_counts() {
  metrics_->set_engines(directory_.listed_count(), controller_.unavailable_engines());
}

}  // namespace yokestream::dispatch
