// The controller's record of one engine: its entry in the engine list, what this manager runs there, and the
// per-engine state of each component. Only the component that owns a state changes it.
#pragma once

#include "concurrency_bound.h"
#include "congestion_tracker.h"
#include "latency_estimator.h"
#include "outlier_detector.h"
#include "peer_load.h"
#include "slow_start.h"
#include "table_group_locks.h"

namespace yokestream::policy {

struct Engine {
  EngineEntry entry;
  double cores = 1;
  double memory_mb = 0;  // 0: unknown
  OwnLoad own;
  LatencyEstimator::EngineState latency;
  CongestionTracker::EngineState congestion;
  ConcurrencyBound::EngineState concurrency;
  OutlierDetector::EngineState outlier;
  SlowStart::EngineState slow_start;
  PeerLoad::EngineState peers;
  TableGroupLocks locks;

  bool is_up() const { return entry.state == EngineState::up; }
};

}  // namespace yokestream::policy
