#include "engine_selector.h"

#include <algorithm>
#include <cmath>

#include "announcements.h"

namespace yokestream::policy {
namespace {

// Estimates that differ by less than this ratio count as equal, and the load per core decides.
constexpr double kTieToleranceRatio = 0.10;
// With more probes, all managers would find the same idle engine.
constexpr int kMaxProbesPerQuery = 2;
constexpr Duration kProbeRepeatInterval = std::chrono::milliseconds(500);
// Ratio of the mean load to saturation from which every query probes.
constexpr double kAlwaysProbeSaturationRatio = 0.6;
// A report newer than this makes a probe unnecessary.
constexpr double kReportFreshnessSeconds = 0.25;
// A report with a higher weight than this is as recent as a probe that was just answered.
constexpr double kFreshReportWeight = 0.8;
constexpr double kTieBreakNoise = 1e-3;

}  // namespace

// The criteria by which engines are compared.
struct EngineSelector::Rank {
  int tier = 0;  // a freshly reported load ranks first, then having no query of this manager
  double estimate_s = 0;
  double relative_load = 0;
};

EngineSelector::EngineSelector(const Inputs& inputs)
    : inputs_(inputs), probing_enabled_(probing_enabled(inputs.settings)) {}

bool EngineSelector::may_send(const Query& query, const Engine& engine, Time now) const {
  const std::size_t class_index = index_of(query.request.query_class);
  const double usual_work_s =
      inputs_.workload.usual_work_s(class_index, inputs_.estimator.class_bias(class_index));
  return inputs_.rules.may_send(query, engine, std::max(usual_work_s, query.work_s),
                                inputs_.load_share.manager_count(), now);
}

// Failure: a query that loads tables locks their table group, and queries that need the group block until it
// ends. Symptom: a query is late on an idle engine. Guard: the remaining time of the longest such lock is
// added to the estimate, because the mix of running classes does not show it.
double EngineSelector::lock_wait_s(const Query& query, const Engine& engine, Time now) const {
  const auto& query_class = class_of(query);
  if (!query_class.waits_for_table_group && !query_class.locks_table_group) return 0;
  return engine.locks.remaining_s(query.request.table_group, now);
}

double EngineSelector::estimate_s(const Query& query, const Engine& engine, Time now) const {
  const double runs_s = inputs_.estimator.predict_s(
      index_of(query.request.query_class), inputs_.capacity.unloaded_s(query), engine.latency,
      engine.own.queries_by_class, engine.slow_start.warm_fraction);
  return runs_s + lock_wait_s(query, engine, now);
}

bool EngineSelector::was_just_probed(const Engine& engine) const {
  return probing_enabled_ && engine.peers.report_weight > kFreshReportWeight;
}

bool EngineSelector::in_panic_mode(const Query& query) const {
  std::size_t up = 0;
  std::size_t healthy = 0;
  for (const auto& [name, engine] : inputs_.engines.all()) {
    if (!engine.is_up() || !inputs_.rules.is_permitted(query, engine.entry)) continue;
    ++up;
    if (!engine.outlier.ejected) ++healthy;
  }
  return OutlierDetector::in_panic_mode(healthy, up);
}

// The query that probes an ejected engine may fail there, so it must be idempotent and on its first attempt.
bool EngineSelector::is_recovery_probe(const Query& query, const Engine& engine, Time now) const {
  return engine.outlier.ejected && now >= engine.outlier.next_recovery_probe && engine.own.queries.empty() &&
         query.attempts.empty() && class_of(query).idempotency == Idempotency::idempotent;
}

// Failure: without a view of each other's queries, all managers rank the engines of the largest kind as the
// least loaded. Symptom: they all send there at once. Guard: the unknown load of the other managers is
// replaced by a random draw, so that idle engines are chosen in proportion to their capacity.
double EngineSelector::relative_load(const Query& query, const Engine& engine, Time now) {
  const double share = inputs_.load_share.value();
  const double peer_load_draw = inputs_.random.next();
  const double noise_draw = inputs_.random.next();
  const double random_peer_threads =
      -std::log(1 - peer_load_draw) * (1 - share) + kTieBreakNoise * noise_draw;
  const double threads = engine.own.threads + inputs_.capacity.peer_threads(engine, now) +
                         class_of(query).threads * share + random_peer_threads;
  return threads / (engine.cores * engine.slow_start.warm_fraction);
}

bool EngineSelector::is_better(const Rank& rank, const Rank& best) const {
  if (rank.tier != best.tier) return rank.tier > best.tier;
  if (rank.estimate_s < best.estimate_s * (1 - kTieToleranceRatio)) return true;
  return rank.estimate_s < best.estimate_s * (1 + kTieToleranceRatio) &&
         rank.relative_load < best.relative_load;
}

EngineChoice EngineSelector::choose(const Query& query, bool pool_has_capacity, Time now) {
  const bool panic = in_panic_mode(query);
  EngineChoice choice;
  Rank best;
  for (auto& [name, engine] : inputs_.engines.all()) {
    if (!may_send(query, engine, now)) continue;
    if (engine.outlier.ejected && !is_recovery_probe(query, engine, now) && !panic) continue;
    Rank rank;
    rank.estimate_s = estimate_s(query, engine, now);
    choice.any_permitted = true;
    if (rank.estimate_s < choice.fastest_estimate_s) {
      choice.fastest_estimate_s = rank.estimate_s;
      choice.fastest = &engine;
    }
    if (!pool_has_capacity || !inputs_.capacity.has_capacity(query, engine, now)) continue;
    choice.free_threads += std::max(0.0, inputs_.capacity.free_threads(query, engine, now));
    rank.tier = (was_just_probed(engine) ? 2 : 0) + (engine.own.queries.empty() ? 1 : 0);
    rank.relative_load = relative_load(query, engine, now);
    if (choice.engine && !is_better(rank, best)) continue;
    choice.engine = &engine;
    choice.estimate_s = rank.estimate_s;
    best = rank;
  }
  return choice;
}

// Failure: other managers fill engines without this one noticing, until they page or thrash. Symptom:
// admitted queries are very late. Guard: where probes report the load, a query waits a tick for the answers
// of a few engines. While the mean load is low, most light queries skip the probes, since they find capacity
// anyway.
EngineSelector::ProbePlan EngineSelector::plan_probes(Query& query, Time now) {
  if (!probing_enabled_ || now + 2 * kTickInterval >= query.deadline) return {};
  const double saturation = kAlwaysProbeSaturationRatio * kSaturationThreadsPerCore;
  const double chance_to_skip = 1 - inputs_.peer_load.mean_threads_per_core() / saturation;
  if (!query.probed_at && query.work_s < inputs_.workload.mean_work_s() &&
      inputs_.random.next() < chance_to_skip)
    return {};
  if (query.probed_at && now - *query.probed_at < kProbeRepeatInterval)
    return {now < *query.probed_at + kTickInterval && probes_in_flight_ > 0, {}};
  query.probed_at = now;
  std::vector<Engine*> candidates;
  for (auto& [name, engine] : inputs_.engines.all()) {
    const Time known_at = std::max(engine.peers.reported_at, engine.peers.probed_at);
    // For an ejected engine this is a recovery probe that risks no query.
    if (OutlierDetector::may_probe(engine.outlier, now) && may_send(query, engine, now) &&
        to_seconds(now - known_at) > kReportFreshnessSeconds)
      candidates.push_back(&engine);
  }
  ProbePlan plan;
  while (plan.targets.size() < kMaxProbesPerQuery && !candidates.empty()) {
    const auto i = static_cast<std::size_t>(inputs_.random.next() * static_cast<double>(candidates.size()));
    plan.targets.push_back(candidates[i]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(i));
  }
  plan.wait = probes_in_flight_ > 0 || !plan.targets.empty();
  return plan;
}

void EngineSelector::on_probe_sent(Engine& engine, Time now) {
  engine.peers.probed_at = now;
  ++probes_in_flight_;
}

}  // namespace yokestream::policy
