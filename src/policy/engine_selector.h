// Chooses the engine for a query: of those that may take it and have capacity, the one with the shortest
// predicted time.
#pragma once

#include <optional>
#include <vector>

#include "engine_capacity.h"
#include "engine_registry.h"
#include "random_source.h"
#include "send_rules.h"

namespace yokestream::policy {

struct EngineChoice {
  Engine* engine = nullptr;  // nullptr: none may take it now
  double estimate_s = 0;
  bool any_permitted = false;       // some engine could take it but for capacity
  double free_threads = 0;          // that all engines together have left, by what is seen of all managers
  const Engine* fastest = nullptr;  // whether it has capacity or not
  double fastest_estimate_s = kUnlimitedSeconds;
};

class EngineSelector {
 public:
  // All must outlive this.
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

  // `pool_has_capacity`: the bound over all engines lets it go.
  EngineChoice choose(const Query& query, bool pool_has_capacity, Time now);
  double estimate_s(const Query& query, const Engine& engine, Time now) const;
  // Seconds that the query waits for a lock on its table group there.
  double lock_wait_s(const Query& query, const Engine& engine, Time now) const;
  bool may_send(const Query& query, const Engine& engine, Time now) const;
  // Whether the engine's load was seen just now.
  bool was_just_probed(const Engine& engine) const;

  // Engines to probe before the query is placed, so that it waits a tick for what they tell.
  struct ProbePlan {
    bool wait = false;
    std::vector<Engine*> targets;
  };
  ProbePlan plan_probes(Query& query, Time now);
  // A probe was sent, or has ended.
  void on_probe_sent(Engine& engine, Time now);
  void on_probe_ended() { probes_in_flight_ = std::max(0, probes_in_flight_ - 1); }

 private:
  struct Rank;
  const ClassSettings& class_of(const Query& query) const {
    return in_.settings.classes[index_of(query.request.query_class)];
  }
  bool in_panic_mode(const Query& query) const;
  bool is_recovery_probe(const Query& query, const Engine& engine, Time now) const;
  double relative_load(const Query& query, const Engine& engine, Time now);
  bool is_better(const Rank& rank, const Rank& best) const;

  const Inputs in_;
  const bool probing_enabled_;
  int probes_in_flight_ = 0;
};

}  // namespace yokestream::policy
