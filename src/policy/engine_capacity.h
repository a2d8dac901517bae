// Decides whether an engine has capacity for a query, from the threads and memory that this manager uses
// there and from what is known of the other managers' load.
#pragma once

#include "concurrency_bound.h"
#include "congestion_tracker.h"
#include "engine.h"
#include "load_share.h"
#include "peer_load.h"
#include "slow_start.h"
#include "workload_statistics.h"

namespace yokestream::policy {

class EngineCapacity {
 public:
  // Everything referred to must outlive this object.
  struct Inputs {
    const Settings& settings;
    const LoadShare& load_share;
    const PeerLoad& peer_load;
    const ConcurrencyBound& bound;
    const CongestionTracker& congestion;
    const SlowStart& slow_start;
    const WorkloadStatistics& workload;
  };
  explicit EngineCapacity(const Inputs& inputs) : inputs_(inputs) {}

  bool has_capacity(const Query& query, const Engine& engine, Time now) const;
  // Threads that all managers together may still run on the engine; negative if it is over its limit.
  double free_threads(const Query& query, const Engine& engine, Time now) const;
  // Estimated threads that other managers run on the engine.
  double peer_threads(const Engine& engine, Time now) const;
  // Memory to grant to the query on this engine; 0 leaves the choice to the engine.
  double memory_grant_mb(const Query& query, const Engine& engine) const;
  bool is_under_pressure(const Engine& engine, Time now) const;
  // Predicted time on an idle engine.
  double unloaded_s(const Query& query) const;

  PeerLoad::EngineResources resources(const Engine& engine, Time now) const;

 private:
  const ClassSettings& class_of(const Query& query) const {
    return inputs_.settings.classes[index_of(query.request.query_class)];
  }
  bool fits_memory_beside_peers(const Query& query, const Engine& engine, Time now) const;
  bool has_capacity_beside_peers(const Query& query, const Engine& engine, Time now) const;
  double saturation_threads_per_core(const Query& query) const;

  const Inputs inputs_;
};

}  // namespace yokestream::policy
