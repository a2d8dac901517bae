#include "concurrency_bound.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kMaxThreadsPerCore = 2.0;  // of this manager's share of an engine
constexpr double kPressureSlowdown = 2.0;   // over the best, from which a bound binds
constexpr double kIncreaseBelow = 1.6;      // slowdown under which bounds grow
constexpr double kDecreaseAbove = 2.2;      // slowdown over which they shrink
constexpr double kIncrease = 0.05;          // threads a thread and outcome
constexpr double kDecrease = 0.97;          // factor an outcome
constexpr double kShareStep = 0.02;         // ratio by which an outcome moves the share of an engine
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

// Failure: the count of managers says little of what one of them may take: peers die, are idle, or carry
// unequal loads. Symptom: queries wait here while engines are idle. Guard: near the best, with queries
// waiting, others leave capacity and this manager's share of the engine grows; latency takes it back.
void ConcurrencyBound::record_served(const Served& served, const Pool& pool, EngineState& engine) {
  const double widest = kMaxThreadsPerCore * pool.cores * pool.load_share;
  if (served.congestion < std::log(kIncreaseBelow) && served.has_queued_queries)
    pool_bound_ += kIncrease * served.threads;
  if (served.congestion > std::log(kDecreaseAbove)) pool_bound_ *= kDecrease;
  pool_bound_ = std::clamp(pool_bound_, std::min(1.0, widest), widest);
  if (served.engine_slowdown < kIncreaseBelow) engine.bound += kIncrease * served.threads;
  if (served.engine_slowdown > kDecreaseAbove) engine.bound *= kDecrease;
  if (served.engine_slowdown < kIncreaseBelow && served.has_queued_queries) engine.share *= 1 + kShareStep;
  if (served.engine_slowdown > kPressureSlowdown) engine.share *= 1 - 2 * kShareStep;
  engine.share = std::clamp(engine.share, pool.load_share, 1.0);
  const double most = std::max(1.0, kMaxThreadsPerCore * served.engine_cores * engine.share);
  engine.bound = std::clamp(engine.bound, 1.0, most);
}

// Failure: an engine that turns queries away at once looks idle and quick. Symptom: it draws all queries, and
// all are turned away. Guard: it gets none for a while, longer each time, until it serves again.
void ConcurrencyBound::record_shed(EngineState& engine, Time now) const {
  engine.saturated_until = now + engine.saturation_backoff;
  engine.saturation_backoff = std::min(2 * engine.saturation_backoff, kMaxSaturationBackoff);
  engine.bound = std::max(1.0, engine.bound * kDecrease);
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
  const bool binds = is_under_pressure(engine, engine_slowdown);
  const double threads = binds ? engine.bound : kMaxThreadsPerCore * cores * engine.share;
  return std::max(1.0, threads * warm_fraction);
}

// Failure: where each share holds a query the engines' own bounds bind, and this sum, cut by every answer
// while all engines are slow for a reason of their own, would leave them empty long after. Symptom: engines
// are idle and queries wait. Guard: the sum binds only where a share of an engine is under one query.
bool ConcurrencyBound::pool_has_capacity(double running_threads, double query_threads,
                                         double congestion) const {
  if (mean_share_cores_ >= query_threads) return true;
  if (running_threads == 0 || congestion < std::log(kPressureSlowdown)) return true;
  return running_threads + query_threads <= pool_bound_;
}

}  // namespace yokestream::policy
