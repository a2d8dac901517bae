#include "concurrency_bound.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Upper limit of every bound, per core of this manager's share.
constexpr double kMaxThreadsPerCore = 2.0;
// Slowdowns, relative to the best: above the first a bound applies, bounds grow below the second and shrink
// above the third.
constexpr double kPressureSlowdown = 2.0;
constexpr double kIncreaseBelowSlowdown = 1.6;
constexpr double kDecreaseAboveSlowdown = 2.2;
constexpr double kIncreasePerThread = 0.05;  // threads, per served query
constexpr double kDecreaseFactor = 0.97;     // per served or shed query
constexpr double kShareStepRatio = 0.02;     // by which a served query changes the share of an engine
constexpr Duration kMinSaturationBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxSaturationBackoff = std::chrono::milliseconds(6000);

}  // namespace

ConcurrencyBound::EngineState ConcurrencyBound::new_engine(double cores, double load_share) const {
  EngineState engine;
  engine.share = load_share;
  engine.bound = std::max(1.0, cores * load_share);
  engine.saturation_backoff = kMinSaturationBackoff;
  return engine;
}

void ConcurrencyBound::refresh(const Pool& pool, double engines_up) {
  mean_share_cores_ = engines_up > 0 ? pool.cores * pool.load_share / engines_up : 0;
  if (pool_bound_ == 0) pool_bound_ = pool.cores * pool.load_share;
}

// Failure: the number of managers does not tell how much one of them may use, as peers may be down, idle or
// unequally loaded. Symptom: queries wait here while engines are idle. Guard: an engine that is near its best
// speed while queries wait has capacity left by the peers, so this manager's share of it grows; a slower
// engine reduces the share again.
void ConcurrencyBound::record_served(const Served& served, const Pool& pool, EngineState& engine) {
  const double max_pool_bound = kMaxThreadsPerCore * pool.cores * pool.load_share;
  if (served.congestion < std::log(kIncreaseBelowSlowdown) && served.has_queued_queries)
    pool_bound_ += kIncreasePerThread * served.threads;
  if (served.congestion > std::log(kDecreaseAboveSlowdown)) pool_bound_ *= kDecreaseFactor;
  pool_bound_ = std::clamp(pool_bound_, std::min(1.0, max_pool_bound), max_pool_bound);
  if (served.engine_slowdown < kIncreaseBelowSlowdown) engine.bound += kIncreasePerThread * served.threads;
  if (served.engine_slowdown > kDecreaseAboveSlowdown) engine.bound *= kDecreaseFactor;
  if (served.engine_slowdown < kIncreaseBelowSlowdown && served.has_queued_queries)
    engine.share *= 1 + kShareStepRatio;
  if (served.engine_slowdown > kPressureSlowdown) engine.share *= 1 - 2 * kShareStepRatio;
  engine.share = std::clamp(engine.share, pool.load_share, 1.0);
  const double max_engine_bound = std::max(1.0, kMaxThreadsPerCore * served.engine_cores * engine.share);
  engine.bound = std::clamp(engine.bound, 1.0, max_engine_bound);
}

// Failure: an engine that sheds queries immediately looks idle and fast. Symptom: it attracts all queries and
// sheds them all. Guard: it receives no queries during a backoff time that doubles until it serves again.
void ConcurrencyBound::record_shed(EngineState& engine, Time now) const {
  engine.saturated_until = now + engine.saturation_backoff;
  engine.saturation_backoff = std::min(2 * engine.saturation_backoff, kMaxSaturationBackoff);
  engine.bound = std::max(1.0, engine.bound * kDecreaseFactor);
}

void ConcurrencyBound::record_response(EngineState& engine) const {
  engine.saturation_backoff = std::max(kMinSaturationBackoff, engine.saturation_backoff / 2);
}

void ConcurrencyBound::scale(EngineState& engine, double factor, double load_share) const {
  engine.share = std::clamp(engine.share * factor, load_share, 1.0);
  engine.bound = std::max(1.0, engine.bound * factor);
}

bool ConcurrencyBound::is_under_pressure(const EngineState& engine, double engine_slowdown) const {
  return engine_slowdown > kPressureSlowdown || engine.saturation_backoff > kMinSaturationBackoff;
}

double ConcurrencyBound::engine_limit(const EngineState& engine, double engine_slowdown, double cores,
                                      double warm_fraction) const {
  const bool applies_bound = is_under_pressure(engine, engine_slowdown);
  const double threads = applies_bound ? engine.bound : kMaxThreadsPerCore * cores * engine.share;
  return std::max(1.0, threads * warm_fraction);
}

// Failure: while all engines are slow for reasons of their own, every served query lowers the pool bound,
// which would leave engines empty long after they recover. Symptom: engines are idle and queries wait. Guard:
// where this manager's share of an engine holds a whole query the per-engine bounds suffice, and the pool
// bound does not apply.
bool ConcurrencyBound::pool_has_capacity(double running_threads, double query_threads,
                                         double congestion) const {
  if (mean_share_cores_ >= query_threads) return true;
  if (running_threads == 0 || congestion < std::log(kPressureSlowdown)) return true;
  return running_threads + query_threads <= pool_bound_;
}

}  // namespace yokestream::policy
