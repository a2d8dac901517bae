#include "peer_load.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Time constants after which the weight of a report has decayed to 1/e: at its own engine, and in the mean
// over all engines.
constexpr double kReportDecaySeconds = 1.5;
constexpr double kMeanDecaySeconds = 6;
// The load assumed before any report, with its weight in units of fresh reports.
constexpr double kPriorWeight = 0.3;
constexpr double kPriorThreadsPerCore = 1;
constexpr double kPriorMemoryRatio = 0.3;

// One parsed load report; -1: not reported.
struct Report {
  double queries = -1;
  double busy_ratio = -1;  // of cores or disks, whichever is higher
  double queued = 0;
  double memory_ratio = -1;
};

Report parse(const std::vector<double>& values, const std::vector<LoadReportField>& fields) {
  Report report;
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i) {
    const double value = values[i];
    if (!(value >= 0)) continue;
    if (fields[i] == LoadReportField::inflight) report.queries = value;
    if (fields[i] == LoadReportField::queue) report.queued = value;
    if (fields[i] == LoadReportField::cpu || fields[i] == LoadReportField::disks)
      report.busy_ratio = std::max(report.busy_ratio, value);
    if (fields[i] == LoadReportField::memory) report.memory_ratio = value;
  }
  return report;
}

}  // namespace

// Reports contain the number of queries, busy cores, busy disks, the queue for memory, or granted memory. All
// but the last are converted to running threads, and the largest result is used.
std::optional<double> PeerLoad::on_report(EngineState& engine, const OwnLoad& own,
                                          const EngineResources& resources, const std::vector<double>& values,
                                          Time now, const WorkloadStatistics::UnannouncedMean& mean,
                                          double load_share) {
  const Report report = parse(values, settings_.load_report_fields);
  if (report.memory_ratio >= 0) {
    engine.unannounced_memory_mb =
        std::max(0.0, report.memory_ratio * resources.memory_mb - own.memory_mb - engine.announced_memory_mb);
    if (mean_memory_ratio_ < 0) mean_memory_ratio_ = kPriorMemoryRatio * (1 - load_share);
  }
  if (report.queries < 0 && report.busy_ratio < 0) return std::nullopt;
  engine.reported_queries = std::max(0.0, report.queries);
  const double busy_threads =
      kSaturationThreadsPerCore * resources.cores * report.busy_ratio + report.queued * mean.threads;
  on_load_observed(engine, own, engine.reported_queries + report.queued, busy_threads, now, mean, load_share);
  if (report.queries < 1) return std::nullopt;
  return report.queries;
}

void PeerLoad::on_load_observed(EngineState& engine, const OwnLoad& own, double queries, double busy_threads,
                                Time now, const WorkloadStatistics::UnannouncedMean& mean,
                                double load_share) {
  const double unannounced_queries =
      queries - static_cast<double>(own.queries.size() + engine.announced.size());
  engine.unannounced_threads = std::max(
      {0.0, unannounced_queries * mean.threads, busy_threads - own.threads - engine.announced_threads});
  engine.reported_at = now;
  engine.report_weight = 1;
  if (mean_threads_per_core_ == 0) mean_threads_per_core_ = kPriorThreadsPerCore * (1 - load_share);
}

void PeerLoad::on_peer_query_started(EngineState& engine, const AnnouncedQuery& query) const {
  engine.announced.push_back(query);
}

void PeerLoad::on_peer_query_ended(EngineState& engine, LockHolder peer) const {
  const auto it = std::find_if(engine.announced.begin(), engine.announced.end(),
                               [&](const AnnouncedQuery& query) { return query.peer == peer; });
  if (it != engine.announced.end()) engine.announced.erase(it);
}

void PeerLoad::update_announced(EngineState& engine, Time now) const {
  std::erase_if(engine.announced, [&](const AnnouncedQuery& query) { return now > query.expires_at; });
  engine.announced_threads = 0;
  engine.announced_memory_mb = 0;
  for (const AnnouncedQuery& query : engine.announced) {
    engine.announced_threads += settings_.classes[query.class_index].threads;
    engine.announced_memory_mb += query.memory_mb;
  }
}

// The prior is scaled by the other managers' share of the load, so it is 0 where there are none.
PeerLoad::Mean PeerLoad::start_refresh(double load_share) const {
  const double prior = kPriorWeight * (1 - load_share);
  return {kPriorWeight, prior * kPriorThreadsPerCore, prior * kPriorMemoryRatio};
}

void PeerLoad::refresh(EngineState& engine, Time now) const {
  engine.report_weight = std::exp(-to_seconds(now - engine.reported_at) / kReportDecaySeconds);
}

// Failure: busy engines send the most answers, so a mean over answers is dominated by them. Symptom: one
// manager of many, which hears from most engines rarely, takes all of them for saturated, idle ones above
// all; it sends nothing there, so no answer corrects the estimate. Guard: each engine counts once, weighted
// by the age of its last report, together with the prior.
void PeerLoad::add_to_mean(Mean& mean, const EngineState& engine, const EngineResources& resources,
                           Time now) const {
  if (engine.reported_at == kLongAgo) return;
  const double weight = std::exp(-to_seconds(now - engine.reported_at) / kMeanDecaySeconds);
  mean.weight += weight;
  mean.threads_per_core += weight * engine.unannounced_threads / resources.cores;
  if (resources.memory_mb > 0)
    mean.memory_ratio += weight * engine.unannounced_memory_mb / resources.memory_mb;
}

void PeerLoad::finish_refresh(const Mean& mean) {
  if (mean_threads_per_core_ > 0) mean_threads_per_core_ = mean.threads_per_core / mean.weight;
  if (mean_memory_ratio_ >= 0) mean_memory_ratio_ = mean.memory_ratio / mean.weight;
}

// Blends the last report with the mean over all engines, by the age of the report. The mean is not used for a
// warming engine.
double PeerLoad::unannounced_threads(const EngineState& engine, const EngineResources& resources) const {
  const double expected =
      resources.warming ? 0 : (1 - engine.report_weight) * mean_threads_per_core_ * resources.cores;
  return engine.report_weight * engine.unannounced_threads + expected;
}

double PeerLoad::threads(const EngineState& engine, const EngineResources& resources) const {
  return engine.announced_threads + unannounced_threads(engine, resources);
}

double PeerLoad::memory_mb(const EngineState& engine, const EngineResources& resources,
                           const WorkloadStatistics::UnannouncedMean& mean) const {
  if (!memory_is_reported())
    return engine.announced_memory_mb +
           unannounced_threads(engine, resources) / mean.threads * mean.memory_mb;
  const double expected =
      resources.warming ? 0 : (1 - engine.report_weight) * mean_memory_ratio_ * resources.memory_mb;
  return engine.announced_memory_mb + engine.report_weight * engine.unannounced_memory_mb + expected;
}

bool PeerLoad::is_observable() const {
  return settings_.manager_count > 1 && (settings_.may_message || mean_threads_per_core_ > 0);
}

}  // namespace yokestream::policy
