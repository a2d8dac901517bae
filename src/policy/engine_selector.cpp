#include "engine_selector.h"

#include <algorithm>
#include <cmath>

#include "announcements.h"

namespace yokestream::policy {
namespace {

constexpr double kTieRatio = 0.10;     // estimates this close are one; fewer threads a core decide
constexpr int kMaxProbesPerQuery = 2;  // more would make all managers find the same idle engine
constexpr Duration kProbeAgainAfter = std::chrono::milliseconds(500);
constexpr double kProbeFromSaturation =
    0.6;  // share of saturation, in the mean, from which all queries probe
constexpr double kReportFreshSeconds = 0.25;  // for which a report is as good as a probe
constexpr double kFreshReportWeight = 0.8;
constexpr double kTieBreakNoise = 1e-3;

}  // namespace

// What engines are compared by.
struct EngineSelector::Rank {
  int order = 0;  // an engine just seen comes first, then one that runs nothing of this manager
  double estimate_s = 0;
  double relative_load = 0;
};

EngineSelector::EngineSelector(const Inputs& inputs)
    : in_(inputs), probing_enabled_(probing_enabled(inputs.settings)) {}

bool EngineSelector::may_send(const Query& query, const Engine& engine, Time now) const {
  const std::size_t class_index = index_of(query.request.query_class);
  const double usual_work_s = in_.workload.usual_work_s(class_index, in_.estimator.class_bias(class_index));
  return in_.rules.may_send(query, engine, std::max(usual_work_s, query.work_s),
                            in_.load_share.manager_count(), now);
}

// Failure: a load locks its table group, and whatever waits for that stands still until it ends. Symptom: a
// query is late on an idle engine. Guard: what is left of the longest such lock is added to the estimate, as
// no mix of classes can tell it.
double EngineSelector::lock_wait_s(const Query& query, const Engine& engine, Time now) const {
  const auto& query_class = class_of(query);
  if (!query_class.waits_for_table_group && !query_class.locks_table_group) return 0;
  return engine.locks.remaining_s(query.request.table_group, now);
}

double EngineSelector::estimate_s(const Query& query, const Engine& engine, Time now) const {
  const double runs_s =
      in_.estimator.predict_s(index_of(query.request.query_class), in_.capacity.unloaded_s(query),
                              engine.latency, engine.own.queries_by_class, engine.slow_start.warm_fraction);
  return runs_s + lock_wait_s(query, engine, now);
}

bool EngineSelector::was_just_probed(const Engine& engine) const {
  return probing_enabled_ && engine.peers.report_weight > kFreshReportWeight;
}

bool EngineSelector::in_panic_mode(const Query& query) const {
  std::size_t up = 0;
  std::size_t healthy = 0;
  for (const auto& [name, engine] : in_.engines.all()) {
    if (!engine.is_up() || !in_.rules.is_permitted(query, engine.entry)) continue;
    ++up;
    if (!engine.outlier.ejected) ++healthy;
  }
  return OutlierDetector::in_panic_mode(healthy, up);
}

// The query that probes an ejected engine must be one that can be repeated and has not failed before.
bool EngineSelector::is_recovery_probe(const Query& query, const Engine& engine, Time now) const {
  return engine.outlier.ejected && now >= engine.outlier.next_recovery_probe && engine.own.queries.empty() &&
         query.attempts.empty() && class_of(query).idempotency == Idempotency::idempotent;
}

// Failure: what is not seen makes the larger kind look idlest to all managers at once. Symptom: they all send
// there. Guard: the part that is not this manager's counts as random, so that idle engines get their share by
// capacity.
double EngineSelector::relative_load(const Query& query, const Engine& engine, Time now) {
  const double share = in_.load_share.value();
  const double unseen_draw = in_.random.next();
  const double noise_draw = in_.random.next();
  const double unseen = -std::log(1 - unseen_draw) * (1 - share) + kTieBreakNoise * noise_draw;
  const double threads =
      engine.own.threads + in_.capacity.peer_threads(engine, now) + class_of(query).threads * share + unseen;
  return threads / (engine.cores * engine.slow_start.warm_fraction);
}

bool EngineSelector::is_better(const Rank& rank, const Rank& best) const {
  if (rank.order != best.order) return rank.order > best.order;
  if (rank.estimate_s < best.estimate_s * (1 - kTieRatio)) return true;
  return rank.estimate_s < best.estimate_s * (1 + kTieRatio) && rank.relative_load < best.relative_load;
}

EngineChoice EngineSelector::choose(const Query& query, bool pool_has_capacity, Time now) {
  const bool panic = in_panic_mode(query);
  EngineChoice choice;
  Rank best;
  for (auto& [name, engine] : in_.engines.all()) {
    if (!may_send(query, engine, now)) continue;
    if (engine.outlier.ejected && !is_recovery_probe(query, engine, now) && !panic) continue;
    Rank rank;
    rank.estimate_s = estimate_s(query, engine, now);
    choice.any_permitted = true;
    if (rank.estimate_s < choice.fastest_estimate_s) {
      choice.fastest_estimate_s = rank.estimate_s;
      choice.fastest = &engine;
    }
    if (!pool_has_capacity || !in_.capacity.has_capacity(query, engine, now)) continue;
    choice.free_threads += std::max(0.0, in_.capacity.free_threads(query, engine, now));
    rank.order = (was_just_probed(engine) ? 2 : 0) + (engine.own.queries.empty() ? 1 : 0);
    rank.relative_load = relative_load(query, engine, now);
    if (choice.engine && !is_better(rank, best)) continue;
    choice.engine = &engine;
    choice.estimate_s = rank.estimate_s;
    best = rank;
  }
  return choice;
}

// Failure: engines fill unseen by one manager of many, until they page or thrash. Symptom: queries that were
// admitted are late by many times. Guard: where probes tell more, a query waits a tick for the answers of a
// few engines. Where engines are idle in the mean, a light query finds capacity without.
EngineSelector::ProbePlan EngineSelector::plan_probes(Query& query, Time now) {
  if (!probing_enabled_ || now + 2 * kTickInterval >= query.deadline) return {};
  const double saturation = kProbeFromSaturation * kSaturationThreadsPerCore;
  const double chance_to_skip = 1 - in_.peer_load.mean_threads_per_core() / saturation;
  if (!query.probed_at && query.work_s < in_.workload.mean_work_s() && in_.random.next() < chance_to_skip)
    return {};
  if (query.probed_at && now - *query.probed_at < kProbeAgainAfter)
    return {now < *query.probed_at + kTickInterval && probes_in_flight_ > 0, {}};
  query.probed_at = now;
  std::vector<Engine*> candidates;
  for (auto& [name, engine] : in_.engines.all()) {
    const Time seen_at = std::max(engine.peers.reported_at, engine.peers.probed_at);
    // A probe of an ejected engine is a recovery probe that costs no query.
    if (OutlierDetector::may_probe(engine.outlier, now) && may_send(query, engine, now) &&
        to_seconds(now - seen_at) > kReportFreshSeconds)
      candidates.push_back(&engine);
  }
  ProbePlan plan;
  while (plan.targets.size() < kMaxProbesPerQuery && !candidates.empty()) {
    const auto i = static_cast<std::size_t>(in_.random.next() * static_cast<double>(candidates.size()));
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
