#include "peer_load.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kReportFadeSeconds = 1.5;  // after which a report counts a third at its engine
constexpr double kMeanFadeSeconds = 6;  // after which a report counts a third in the mean over all engines
constexpr double kPriorWeight = 0.3;    // of what is presumed before any report, in fresh reports
constexpr double kPriorThreadsPerCore = 1;
constexpr double kPriorMemoryRatio = 0.3;

// What one load report tells; -1: not told.
struct Report {
  double queries = -1;
  double busy_ratio = -1;  // of its cores or disks, whichever is higher
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

// Reports tell queries, busy cores, busy disks, the queue for memory, or memory granted; each is taken as
// running threads, the most that any of them stands for.
std::optional<double> PeerLoad::on_report(EngineState& engine, const OwnLoad& own, const EngineFacts& facts,
                                          const std::vector<double>& values, Time now,
                                          const WorkloadStatistics::UnannouncedMean& mean,
                                          double load_share) {
  const Report report = parse(values, settings_.load_report_fields);
  if (report.memory_ratio >= 0) {
    engine.unannounced_memory_mb =
        std::max(0.0, report.memory_ratio * facts.memory_mb - own.memory_mb - engine.announced_memory_mb);
    if (mean_memory_ratio_ < 0) mean_memory_ratio_ = kPriorMemoryRatio * (1 - load_share);
  }
  if (report.queries < 0 && report.busy_ratio < 0) return std::nullopt;
  engine.reported_queries = std::max(0.0, report.queries);
  const double busy_threads =
      kSaturationThreadsPerCore * facts.cores * report.busy_ratio + report.queued * mean.threads;
  on_load_seen(engine, own, engine.reported_queries + report.queued, busy_threads, now, mean, load_share);
  if (report.queries < 1) return std::nullopt;
  return report.queries;
}

void PeerLoad::on_load_seen(EngineState& engine, const OwnLoad& own, double queries, double busy_threads,
                            Time now, const WorkloadStatistics::UnannouncedMean& mean, double load_share) {
  const double unknown = queries - static_cast<double>(own.queries.size() + engine.announced.size());
  engine.unannounced_threads =
      std::max({0.0, unknown * mean.threads, busy_threads - own.threads - engine.announced_threads});
  engine.reported_at = now;
  engine.report_weight = 1;
  if (mean_threads_per_core_ == 0) mean_threads_per_core_ = kPriorThreadsPerCore * (1 - load_share);
}

void PeerLoad::on_peer_began(EngineState& engine, const AnnouncedQuery& query) const {
  engine.announced.push_back(query);
}

void PeerLoad::on_peer_ended(EngineState& engine, LockHolder peer) const {
  const auto it = std::find_if(engine.announced.begin(), engine.announced.end(),
                               [&](const AnnouncedQuery& query) { return query.peer == peer; });
  if (it != engine.announced.end()) engine.announced.erase(it);
}

void PeerLoad::sum_announced(EngineState& engine, Time now) const {
  std::erase_if(engine.announced, [&](const AnnouncedQuery& query) { return now > query.expires_at; });
  engine.announced_threads = 0;
  engine.announced_memory_mb = 0;
  for (const AnnouncedQuery& query : engine.announced) {
    engine.announced_threads += settings_.classes[query.class_index].threads;
    engine.announced_memory_mb += query.memory_mb;
  }
}

// Nothing is presumed of others where there are none.
PeerLoad::Mean PeerLoad::start_refresh(double load_share) const {
  const double prior = kPriorWeight * (1 - load_share);
  return {kPriorWeight, prior * kPriorThreadsPerCore, prior * kPriorMemoryRatio};
}

void PeerLoad::refresh(EngineState& engine, Time now) const {
  engine.report_weight = std::exp(-to_seconds(now - engine.reported_at) / kReportFadeSeconds);
}

// Failure: answers come most from where most runs, so a mean over answers shows the crowded engines for all.
// Symptom: to one manager of many, which meets most engines seldom, all look saturated, the idle ones first;
// it sends nothing there, and no answer corrects it. Guard: each engine counts once, by the age of its last
// report, beside what is presumed.
void PeerLoad::count_in(Mean& mean, const EngineState& engine, const EngineFacts& facts, Time now) const {
  if (engine.reported_at == kLongAgo) return;
  const double weight = std::exp(-to_seconds(now - engine.reported_at) / kMeanFadeSeconds);
  mean.weight += weight;
  mean.threads_per_core += weight * engine.unannounced_threads / facts.cores;
  if (facts.memory_mb > 0) mean.memory_ratio += weight * engine.unannounced_memory_mb / facts.memory_mb;
}

void PeerLoad::finish_refresh(const Mean& mean) {
  if (mean_threads_per_core_ > 0) mean_threads_per_core_ = mean.threads_per_core / mean.weight;
  if (mean_memory_ratio_ >= 0) mean_memory_ratio_ = mean.memory_ratio / mean.weight;
}

// By the last report, and as that ages by the mean over all engines. A warming engine counts for itself.
double PeerLoad::unannounced_threads(const EngineState& engine, const EngineFacts& facts) const {
  const double presumed =
      facts.warming ? 0 : (1 - engine.report_weight) * mean_threads_per_core_ * facts.cores;
  return engine.report_weight * engine.unannounced_threads + presumed;
}

double PeerLoad::threads(const EngineState& engine, const EngineFacts& facts) const {
  return engine.announced_threads + unannounced_threads(engine, facts);
}

double PeerLoad::memory_mb(const EngineState& engine, const EngineFacts& facts,
                           const WorkloadStatistics::UnannouncedMean& mean) const {
  if (!memory_is_reported())
    return engine.announced_memory_mb + unannounced_threads(engine, facts) / mean.threads * mean.memory_mb;
  const double presumed =
      facts.warming ? 0 : (1 - engine.report_weight) * mean_memory_ratio_ * facts.memory_mb;
  return engine.announced_memory_mb + engine.report_weight * engine.unannounced_memory_mb + presumed;
}

bool PeerLoad::is_visible() const {
  return settings_.manager_count > 1 && (settings_.may_message || mean_threads_per_core_ > 0);
}

}  // namespace yokestream::policy
