// Chooses the engine for a query: the one with the shortest predicted time among those that are permitted and
// have capacity.
#pragma once

#include <optional>
#include <vector>

#include "engine_capacity.h"
#include "engine_registry.h"
#include "random_source.h"
#include "send_rules.h"

namespace yokestream::policy {

struct EngineChoice {
  Engine* engine = nullptr;  // nullptr: none can take the query now
  double estimate_s = 0;
  bool any_permitted = false;       // some engine may take the query, if it has capacity
  double free_threads = 0;          // over all engines with capacity, given the known load of all managers
  const Engine* fastest = nullptr;  // of the permitted engines, with or without capacity
  double fastest_estimate_s = kUnlimitedSeconds;
};

class EngineSelector {
 public:
  // Everything referred to must outlive this object.
  struct Inputs {
    const Settings& settings;
    EngineRegistry& engines;
    const SendRules& rules;
    const EngineCapacity& capacity;
    const LatencyEstimator& estimator;
    const WorkloadStatistics& workload;
    const LoadShare& load_share;
    const PeerLoad& peer_load;
    RandomSource& random;
  };
  explicit EngineSelector(const Inputs& inputs);

  // `pool_has_capacity`: whether the bound over all engines admits the query.
  EngineChoice choose(const Query& query, bool pool_has_capacity, Time now);
  double estimate_s(const Query& query, const Engine& engine, Time now) const;
  // Expected wait for a lock on the query's table group on this engine.
  double lock_wait_s(const Query& query, const Engine& engine, Time now) const;
  bool may_send(const Query& query, const Engine& engine, Time now) const;
  // Whether the engine's load was reported within the last moments.
  bool was_just_probed(const Engine& engine) const;

  // Engines to probe before the query is placed, and whether the query waits a tick for their answers.
  struct ProbePlan {
    bool wait = false;
    std::vector<Engine*> targets;
  };
  ProbePlan plan_probes(Query& query, Time now);
  void on_probe_sent(Engine& engine, Time now);
  void on_probe_ended() { probes_in_flight_ = std::max(0, probes_in_flight_ - 1); }

 private:
  struct Rank;
  const ClassSettings& class_of(const Query& query) const {
    return inputs_.settings.classes[index_of(query.request.query_class)];
  }
  bool in_panic_mode(const Query& query) const;
  bool is_recovery_probe(const Query& query, const Engine& engine, Time now) const;
  double relative_load(const Query& query, const Engine& engine, Time now);
  bool is_better(const Rank& rank, const Rank& best) const;

  const Inputs inputs_;
  const bool probing_enabled_;
  int probes_in_flight_ = 0;
};

}  // namespace yokestream::policy
