#include "engine_capacity.h"

#include <algorithm>

namespace yokestream::policy {
namespace {

// Threads per core at which an engine is saturated. If nearly all of them belong to this manager, some wait
// at any time. If it is one of many managers, its view is outdated, and most threads still do their full
// work.
constexpr double kSaturationThreadsPerCoreAlone = 4;
constexpr double kSaturationThreadsPerCoreOfMany = 2.6;
constexpr double kOverQuotaRatio = 0.7;  // fraction of the saturation limit for queries over their quota

// Fractions of an engine's memory that may be granted by all managers together. If reports show memory use,
// the limit is lower: close to 1, most queries spill.
constexpr double kMemoryRatioUnreported = 1.0;
constexpr double kMemoryRatioReported = 0.8;
// Multiple of its share of an engine's memory that this manager may grant. It may exceed 1 because queries
// need less memory than estimated.
constexpr double kOwnShareMemoryRatio = 1.5;

constexpr double kMinUnloadedSeconds = 1e-3;

}  // namespace

PeerLoad::EngineResources EngineCapacity::resources(const Engine& engine, Time now) const {
  return {engine.cores, engine.memory_mb, inputs_.slow_start.is_warming(engine.slow_start, now)};
}

double EngineCapacity::unloaded_s(const Query& query) const {
  return std::max(kMinUnloadedSeconds, query.work_s / class_of(query).threads);
}

double EngineCapacity::memory_grant_mb(const Query& query, const Engine& engine) const {
  const double wanted =
      query.request.memory_mb * inputs_.workload.memory_factor(index_of(query.request.query_class));
  if (engine.memory_mb <= 0) return wanted;
  return std::min(wanted, engine.memory_mb * inputs_.settings.max_memory_grant_ratio);
}

double EngineCapacity::peer_threads(const Engine& engine, Time now) const {
  return inputs_.peer_load.threads(engine.peers, resources(engine, now));
}

bool EngineCapacity::is_under_pressure(const Engine& engine, Time now) const {
  return inputs_.bound.is_under_pressure(engine.concurrency,
                                         inputs_.congestion.engine_slowdown(engine.congestion, now));
}

double EngineCapacity::saturation_threads_per_core(const Query& query) const {
  const double share = inputs_.load_share.value();
  const double threads = std::max(
      kSaturationThreadsPerCoreOfMany * (1 - share),
      kSaturationThreadsPerCore + (kSaturationThreadsPerCoreAlone - kSaturationThreadsPerCore) * share);
  return threads * (query.over_quota ? kOverQuotaRatio : 1);
}

double EngineCapacity::free_threads(const Query& query, const Engine& engine, Time now) const {
  return saturation_threads_per_core(query) * engine.cores * engine.slow_start.warm_fraction -
         engine.own.threads - peer_threads(engine, now);
}

bool EngineCapacity::fits_memory_beside_peers(const Query& query, const Engine& engine, Time now) const {
  if (engine.memory_mb <= 0) return true;
  const double ratio = inputs_.peer_load.memory_is_reported() ? kMemoryRatioReported : kMemoryRatioUnreported;
  const double memory_ratio = ratio + (kOwnShareMemoryRatio - ratio) * inputs_.load_share.value();
  const double peer_memory_mb =
      inputs_.peer_load.memory_mb(engine.peers, resources(engine, now), inputs_.workload.unannounced());
  return !(engine.own.memory_mb + peer_memory_mb + memory_grant_mb(query, engine) >
           memory_ratio * engine.memory_mb);
}

bool EngineCapacity::has_capacity_beside_peers(const Query& query, const Engine& engine, Time now) const {
  if (!fits_memory_beside_peers(query, engine, now)) return false;
  return engine.own.threads + peer_threads(engine, now) + class_of(query).threads <=
         saturation_threads_per_core(query) * engine.cores * engine.slow_start.warm_fraction;
}

bool EngineCapacity::has_capacity(const Query& query, const Engine& engine, Time now) const {
  if (inputs_.bound.is_saturated(engine.concurrency, now)) return false;
  if (inputs_.peer_load.is_observable() && !has_capacity_beside_peers(query, engine, now)) return false;
  if (engine.own.queries.empty()) return true;
  if (engine.memory_mb > 0 && engine.own.memory_mb + memory_grant_mb(query, engine) >
                                  kOwnShareMemoryRatio * engine.memory_mb * engine.concurrency.share)
    return false;
  const double slowdown = inputs_.congestion.engine_slowdown(engine.congestion, now);
  return engine.own.threads < inputs_.bound.engine_limit(engine.concurrency, slowdown, engine.cores,
                                                         engine.slow_start.warm_fraction);
}

}  // namespace yokestream::policy
