// Estimates the threads and memory that other managers use on each engine, from their announcements, from
// load reports, and from a default for engines without a recent report.
//
// The weight of a report decays with its age, and the mean over all engines takes its place.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "query.h"
#include "table_group_locks.h"
#include "workload_statistics.h"

namespace yokestream::policy {

// Threads per core, of all managers together, at which an engine is saturated.
inline constexpr double kSaturationThreadsPerCore = 1.8;

// The load that this manager has on one engine.
struct OwnLoad {
  std::vector<double> queries_by_class;
  double threads = 0;
  double memory_mb = 0;  // granted
  std::set<QueryId> queries;
};

class PeerLoad {
 public:
  struct AnnouncedQuery {
    LockHolder peer = 0;
    std::size_t class_index = 0;
    double memory_mb = 0;
    Time expires_at{};  // in case the message of its end is lost
  };
  struct EngineState {
    double reported_queries = 0;       // of all managers, in the last report
    double unannounced_threads = 0;    // in the last report, neither own nor announced
    double unannounced_memory_mb = 0;  // likewise
    double report_weight = 0;          // of the last report relative to the mean over all engines, 0 to 1
    Time reported_at = kLongAgo;
    Time probed_at = kLongAgo;
    std::vector<AnnouncedQuery> announced;
    double announced_threads = 0;
    double announced_memory_mb = 0;
  };
  struct EngineResources {
    double cores = 1;
    double memory_mb = 0;  // 0: unknown
    bool warming = false;  // in slow start, which limits the load on its own
  };
  // Accumulates the mean over all engines.
  struct Mean {
    double weight = 0;
    double threads_per_core = 0;
    double memory_ratio = 0;
  };

  explicit PeerLoad(const Settings& settings) : settings_(settings) {}

  // Takes in a load report, whose fields are given by Settings::load_report_fields. Returns the number of
  // queries on the engine if it is reported and at least one.
  std::optional<double> on_report(EngineState& engine, const OwnLoad& own, const EngineResources& resources,
                                  const std::vector<double>& report, Time now,
                                  const WorkloadStatistics::UnannouncedMean& mean, double load_share);
  // Takes in that `queries` run on the engine and keep `busy_threads` threads busy.
  void on_load_observed(EngineState& engine, const OwnLoad& own, double queries, double busy_threads,
                        Time now, const WorkloadStatistics::UnannouncedMean& mean, double load_share);
  void on_peer_query_started(EngineState& engine, const AnnouncedQuery& query) const;
  void on_peer_query_ended(EngineState& engine, LockHolder peer) const;
  void update_announced(EngineState& engine, Time now) const;

  // Recomputes the means: start_refresh(), then refresh() for each engine and add_to_mean() for those that
  // are up and not warming, then finish_refresh().
  Mean start_refresh(double load_share) const;
  void refresh(EngineState& engine, Time now) const;
  void add_to_mean(Mean& mean, const EngineState& engine, const EngineResources& resources, Time now) const;
  void finish_refresh(const Mean& mean);

  double threads(const EngineState& engine, const EngineResources& resources) const;
  double memory_mb(const EngineState& engine, const EngineResources& resources,
                   const WorkloadStatistics::UnannouncedMean& mean) const;
  // Mean of unannounced threads per core; 0 if no engine has reported.
  double mean_threads_per_core() const { return mean_threads_per_core_; }
  bool memory_is_reported() const { return mean_memory_ratio_ >= 0; }
  // Whether there is any information about the load of other managers.
  bool is_observable() const;

 private:
  double unannounced_threads(const EngineState& engine, const EngineResources& resources) const;

  const Settings& settings_;
  double mean_threads_per_core_ = 0;
  double mean_memory_ratio_ = -1;  // of an engine's memory; negative: not reported
};

}  // namespace yokestream::policy
