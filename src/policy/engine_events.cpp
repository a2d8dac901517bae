// Handles engine lists, ended probes, messages from peers, and timers.
#include <algorithm>
#include <set>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

// A failed request for the engine list is repeated after a fraction of its deadline, but not sooner than
// this.
constexpr Duration kMinListRetryDelay = std::chrono::milliseconds(250);
constexpr int kListRetriesWithinDeadline = 16;
// An announced query expires after this multiple of its announced remaining time, in case the message of its
// end was lost.
constexpr double kAnnouncedExpiryRatio = 3;
constexpr Duration kProbeTimeout = std::chrono::milliseconds(400);
// Two processes convert the same start time by different clocks, so it may differ by this much.
constexpr Duration kStartTimeTolerance = std::chrono::milliseconds(500);
constexpr int kSilenceStallRecoveryTicks = 2;  // after a stall, without checks for silent engines

// Lock holder ids of peers are above the ids of all of this manager's queries.
LockHolder holder_of(ManagerId peer) { return (static_cast<LockHolder>(index_of(peer)) + 1) << 40; }

}  // namespace

void AdmissionController::Impl::on(const EngineList& list) {
  if (list.kind == EngineListKind::failed) {
    const Duration pause = std::max<Duration>(
        kMinListRetryDelay, settings_.engine_list_request_deadline / kListRetriesWithinDeadline);
    return emit(StartTimer{pause, kWatchListTimer});
  }
  if (list.kind != EngineListKind::delta) {
    std::set<std::string> names;
    for (const auto& entry : list.entries) names.insert(entry.engine.name);
    engines_.mark_gone_except(names);
  }
  for (const auto& entry : list.entries) apply(entry);
  refresh_engines();
}

void AdmissionController::Impl::apply(const EngineEntry& entry) {
  Engine* known = engines_.find(entry.engine.name);
  const bool is_new = known == nullptr;
  const bool restarted = known && entry.start_time && entry.start_time != known->entry.start_time;
  Engine& engine = is_new ? add_engine(entry) : *known;
  engine.entry = entry;
  if (is_new) {
    if (const auto restored = restored_engines_.extract(entry.engine.name))
      restore_engine(engine, restored.mapped());
  }
  if (entry.start_time && (is_new || restarted))
    slow_start_.on_engine_started(engine.slow_start, *entry.start_time, now_, random_);
  if (restarted) outliers_.on_restart(engine.outlier, now_);
}

Engine& AdmissionController::Impl::add_engine(const EngineEntry& entry) {
  Engine& engine = engines_.add(entry.engine.name);
  engine.own.queries_by_class.assign(settings_.classes.size(), 0.0);
  std::optional<std::size_t> kind;
  if (index_of(entry.kind) < settings_.kinds.size()) {
    kind = index_of(entry.kind);
    engine.cores = settings_.kinds[*kind].cores;
    engine.memory_mb = settings_.kinds[*kind].memory_mb;
  }
  engine.latency = estimator_.new_engine(kind);
  engine.concurrency = bound_.new_engine(engine.cores, load_share_.value());
  return engine;
}

// Failure: the restored state was learned before the engine restarted, when it was warm or failing. Symptom:
// a newly started engine is ejected or overloaded at once. Guard: an engine that was started since then
// begins with the state of its kind.
void AdmissionController::Impl::restore_engine(Engine& engine, const LearnedState::Engine& known) {
  const auto& learned_start = known.start_time;
  const auto& current_start = engine.entry.start_time;
  if (current_start &&
      (!learned_start || std::chrono::abs(*current_start - *learned_start) > kStartTimeTolerance))
    return;
  engine.latency = {known.learned.interference, known.learned.mean_error};
  engine.congestion = {known.learned.log_slowdown, known.learned.recent_outcomes, restored_at_};
  outliers_.restore(engine.outlier, known.learned.failure_ratio, known.learned.ejected, restored_at_, now_);
}

void AdmissionController::Impl::refresh_engines() {
  engines_.forget_stale(now_);
  total_cores_ = 0;
  double engines_up = 0;
  auto mean = peer_load_.start_refresh(load_share_.value());
  for (auto& [name, engine] : engines_.all()) {
    engine.locks.expire(now_);
    peer_load_.update_announced(engine.peers, now_);
    slow_start_.refresh(engine.slow_start, now_);
    peer_load_.refresh(engine.peers, now_);
    if (!engine.is_up()) continue;
    total_cores_ += engine.cores * engine.slow_start.warm_fraction;
    ++engines_up;
    const auto resources = capacity_.resources(engine, now_);
    if (!resources.warming) peer_load_.add_to_mean(mean, engine.peers, resources, now_);
  }
  peer_load_.finish_refresh(mean);
  bound_.refresh(pool(), engines_up);
}

void AdmissionController::Impl::send_probe(Engine& engine) {
  selector_.on_probe_sent(engine, now_);
  emit(Probe{engine.entry.engine});
}

void AdmissionController::Impl::on(const ProbeEnded& event) {
  selector_.on_probe_ended();
  Engine* engine = engines_.find(event.engine.name);
  if (!engine) return;
  if (event.outcome != Outcome::served)
    return outliers_.record_failure(engine->outlier, OutlierDetector::Failure::connection_refused, now_);
  outliers_.record_response(engine->outlier, now_);
  if (engine->outlier.ejected) {
    outliers_.record_success(engine->outlier, now_);
    bound_.record_response(engine->concurrency);
  }
  read_report(*engine, event.load_report);
}

void AdmissionController::Impl::read_report(Engine& engine, const std::vector<double>& report) {
  const auto queries = peer_load_.on_report(engine.peers, engine.own, capacity_.resources(engine, now_),
                                            report, now_, workload_.unannounced(), load_share_.value());
  if (queries) load_share_.observe(engine.own.queries.size(), *queries);
}

void AdmissionController::Impl::on(const PeerMessage& message) {
  const LockHolder peer = holder_of(message.sender);
  if (const auto started = decode_started(message.payload, settings_.classes.size())) {
    Engine* engine = engines_.find_by_hash(started->engine_hash);
    if (!engine) return;
    const Time expires_at = now_ + from_seconds(kAnnouncedExpiryRatio * started->remaining_s);
    peer_load_.on_peer_query_started(engine->peers,
                                     {peer, started->class_index, started->memory_mb, expires_at});
    if (started->locked_tables)
      engine->locks.acquire(*started->locked_tables, peer, now_ + from_seconds(started->remaining_s));
    return peer_load_.update_announced(engine->peers, now_);
  }
  const auto ended = decode_ended(message.payload);
  Engine* engine = ended ? engines_.find_by_hash(ended->engine_hash) : nullptr;
  if (!engine) return;
  peer_load_.on_peer_query_ended(engine->peers, peer);
  engine->locks.release(peer);
  if (ended->reported_queries)
    peer_load_.on_load_observed(engine->peers, engine->own, *ended->reported_queries, 0, now_,
                                workload_.unannounced(), load_share_.value());
  peer_load_.update_announced(engine->peers, now_);
}

void AdmissionController::Impl::on(const TimerFired& timer) {
  if (timer.token == kWatchListTimer) return emit(WatchEngineList{});
  emit(StartTimer{kTickInterval, kTickTimer});
  retries_.expire(now_);
  refresh_engines();
  check_silent_engines();
  const double elapsed_s = threshold_.advance(now_);
  congestion_.decay(elapsed_s);
  threshold_.update(elapsed_s, congestion_.congestion());
}

// Failure: an engine or its network path fails silently. Symptom: all queries on it run into their deadlines.
// Guard: an engine with queries in flight that has sent neither progress nor an answer for too long is
// ejected, and the queries that may be cancelled are sent elsewhere.
void AdmissionController::Impl::check_silent_engines() {
  if (stall_.is_recovering(now_, kSilenceStallRecoveryTicks)) return;
  const Duration limit = watchdog_.max_silence();
  for (auto& [name, engine] : engines_.all()) {
    if (engine.own.queries.empty()) continue;
    cancel_stuck_attempts(engine);
    Time oldest = Time::max();
    for (const QueryId id : engine.own.queries)
      oldest = std::min(oldest, watchdog_.silence_start(queries_.at(id).attempts.back()));
    if (now_ - std::max(oldest, engine.outlier.last_response) < limit) continue;
    // One manager of many rarely hears from any one engine, so a probe checks it before it is ejected.
    if (settings_.may_probe && now_ - engine.peers.probed_at >= limit) send_probe(engine);
    if (settings_.may_probe && now_ - engine.peers.probed_at < kProbeTimeout) continue;
    outliers_.eject_silent(engine.outlier, now_);
    if (!settings_.may_cancel) continue;
    for (const QueryId id : engine.own.queries) cancel_attempt(queries_.at(id));
  }
}

void AdmissionController::Impl::cancel_stuck_attempts(const Engine& engine) {
  for (const QueryId id : engine.own.queries) {
    Query& query = queries_.at(id);
    const Attempt& attempt = query.attempts.back();
    if (watchdog_.is_answer_lost(attempt, engine.outlier.last_response, now_) ||
        watchdog_.has_timed_out(query, attempt, now_))
      cancel_attempt(query);
  }
}

}  // namespace yokestream::policy
