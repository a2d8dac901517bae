// What other managers run on the engines: what they announced, what load reports show beyond that, and what
// is presumed of engines of which nothing recent is known.
//
// Threads and megabytes. A report counts for less as it ages; in its place comes the mean over all engines.
#pragma once

#include <optional>
#include <set>
#include <vector>

#include "query.h"
#include "table_group_locks.h"
#include "workload_statistics.h"

namespace yokestream::policy {

// Threads a core, of all managers together, that saturate an engine.
inline constexpr double kSaturationThreadsPerCore = 1.8;

// What this manager runs on one engine.
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
    Time expires_at{};  // its end was lost
  };
  struct EngineState {
    double reported_queries = 0;       // on the engine, by its last report
    double unannounced_threads = 0;    // neither own nor announced, by the last report
    double unannounced_memory_mb = 0;  // the same
    double report_weight = 0;          // of the last report against the mean over all engines, 0 to 1
    Time reported_at = kLongAgo;
    Time probed_at = kLongAgo;
    std::vector<AnnouncedQuery> announced;
    double announced_threads = 0;
    double announced_memory_mb = 0;
  };
  struct EngineFacts {
    double cores = 1;
    double memory_mb = 0;  // 0: not known
    bool warming = false;  // in slow start, which bounds it by itself
  };
  // The mean over all engines, as it is put together anew.
  struct Mean {
    double weight = 0;
    double threads_per_core = 0;
    double memory_ratio = 0;
  };

  explicit PeerLoad(const Settings& settings) : settings_(settings) {}

  // A load report, its fields as Settings::load_report_fields. Returns the queries on the engine, where it
  // tells of one at least.
  std::optional<double> on_report(EngineState& engine, const OwnLoad& own, const EngineFacts& facts,
                                  const std::vector<double>& report, Time now,
                                  const WorkloadStatistics::UnannouncedMean& mean, double load_share);
  // So many queries run there, and so many threads stand for the load.
  void on_load_seen(EngineState& engine, const OwnLoad& own, double queries, double busy_threads, Time now,
                    const WorkloadStatistics::UnannouncedMean& mean, double load_share);
  void on_peer_began(EngineState& engine, const AnnouncedQuery& query) const;
  void on_peer_ended(EngineState& engine, LockHolder peer) const;
  void sum_announced(EngineState& engine, Time now) const;

  // Refreshing: start, then each engine, counting in those that are up and not warming, then finish.
  Mean start_refresh(double load_share) const;
  void refresh(EngineState& engine, Time now) const;
  void count_in(Mean& mean, const EngineState& engine, const EngineFacts& facts, Time now) const;
  void finish_refresh(const Mean& mean);

  double threads(const EngineState& engine, const EngineFacts& facts) const;
  double memory_mb(const EngineState& engine, const EngineFacts& facts,
                   const WorkloadStatistics::UnannouncedMean& mean) const;
  // Mean unannounced threads a core; 0: no engine has reported.
  double mean_threads_per_core() const { return mean_threads_per_core_; }
  bool memory_is_reported() const { return mean_memory_ratio_ >= 0; }
  // Whether anything is known of what others run.
  bool is_visible() const;

 private:
  double unannounced_threads(const EngineState& engine, const EngineFacts& facts) const;

  const Settings& settings_;
  double mean_threads_per_core_ = 0;
  double mean_memory_ratio_ = -1;  // of an engine's memory; below 0: not reported
};

}  // namespace yokestream::policy
