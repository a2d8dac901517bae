// What a query takes at each engine, and what other fronts run there.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kTellWork = 0.0065;  // mean works for each receiver that a message is worth
constexpr double kTellLeast = 0.1;    // mean works under which a query is not told of, however few receive it
constexpr double kReportFade = 1.5;   // seconds after which a report counts a third
constexpr double kPoolFade = 6;  // seconds after which an engine's report counts a third in the pool's mean
constexpr double kPriorWeight = 0.3;  // and its weight, in fresh reports
constexpr double kLoadRest = 0.2;     // seconds that a load past its estimate is taken to need still

}  // namespace

double AdmissionController::Impl::unloaded(const Query& q) const {
  return std::max(1e-3, q.work / cls(q).threads);
}

double AdmissionController::Impl::estimate(const Query& q, const Engine& e) const {
  const std::size_t i = pos(q.told.query_class);
  const double mix = interference(e.interference, i, e.n) + e.interference[i][i];  // the newcomer counted in
  return unloaded(q) * (classes[i].bias + mix) / e.warm + behind_loads(q, e);
}

// Danger: a load holds its tables, and whatever waits for them stands still until it ends, however idle the
// engine. The mix of classes can't tell; the rest of the longest such load is added to the estimate.
double AdmissionController::Impl::behind_loads(const Query& q, const Engine& e) const {
  if (!cls(q).waits_for_table_group && !cls(q).locks_table_group) return 0;
  double rest = 0;
  const auto [from, to] = e.loads.equal_range(short_tables(q.told.table_group));
  for (auto it = from; it != to; ++it)
    rest = std::max(rest, std::max(kLoadRest, seconds(it->second.second - now)));
  return rest;
}

// Danger: at an engine shared with many fronts dense queries pile up by chance until it pages or thrashes.
// Where no probes show it, what is worth the price of messages to every peer is told of, when sent (5
// bytes, 7 for a load) and at its end (4, with the engine's report). A lost message costs a wrong guess.
void AdmissionController::Impl::tell(const Query& q, Attempt& a, const Engine& e, double rest) {
  const bool begins = rest > 0;
  if (begins) a.told = s.may_message && s.manager_count > 1 && !probes && q.work >= told_from() * mean_work_s;
  if (!a.told) return;
  const std::uint16_t where = short_hash(e.entry.engine.name);
  const bool load = cls(q).locks_table_group;
  if (begins)
    return act(BroadcastToPeers{
        told_begin(where, pos(q.told.query_class), a.memory, rest, q.told.table_group, load)});
  act(BroadcastToPeers{told_end(where, e.others_at == now ? std::min(254.0, e.reported) : 255)});
}

double AdmissionController::Impl::told_from() const { return kTellLeast + kTellWork * (s.manager_count - 1); }

// What other fronts run and nobody told of: by the last report, and as it ages by the pool's mean.
double AdmissionController::Impl::untold(const Engine& e) const {
  return e.fresh * e.others + (is_cold(e) ? 0 : (1 - e.fresh) * pool_others * e.cores);
}

double AdmissionController::Impl::other_threads(const Engine& e) const { return e.told_threads + untold(e); }

double AdmissionController::Impl::other_memory(const Engine& e) const {
  if (pool_memory < 0)
    return e.told_memory + untold(e) / mean_unannounced_threads * mean_unannounced_memory_mb;
  return e.told_memory + e.fresh * e.others_memory +
         (is_cold(e) ? 0 : (1 - e.fresh) * pool_memory * e.memory);
}

// Danger: answers come most from where most runs. A mean over answers shows the crowded engines for all,
// and to a front of many, which meets most engines seldom, all look full, the idle ones first: none dares
// to send there, and no answer puts it right. So each engine counts once, by the age of its last report,
// beside what is presumed. One that is cold counts for itself alone: its ration bounds it.
void AdmissionController::Impl::view_pool() {
  const double prior = kPriorWeight * (1 - share);  // nothing is presumed of others where there are none
  double weight = kPriorWeight, others = prior * kPoolPrior, memory = prior * kPriorMemory;
  for (auto& [name, e] : engines) {
    e.fresh = std::exp(-seconds(now - e.others_at) / kReportFade);
    if (e.entry.state != EngineState::up || is_cold(e) || e.others_at == kLongAgo) continue;
    const double w = std::exp(-seconds(now - e.others_at) / kPoolFade);
    weight += w;
    others += w * e.others / e.cores;
    if (e.memory > 0) memory += w * e.others_memory / e.memory;
  }
  if (pool_others > 0) pool_others = others / weight;
  if (pool_memory >= 0) pool_memory = memory / weight;
}

bool AdmissionController::Impl::is_cold(const Engine& e) const {
  return e.cold_since && now - *e.cold_since < s.slow_start_window;
}

// Danger: a cold engine does a part of its work, and its kind's weights don't know. Its time is stretched
// by the part that it is told to have, growing evenly until it is warm.
double AdmissionController::Impl::warmth(const Engine& e) const {
  if (!e.cold_since || s.slow_start_window <= Duration{}) return 1;
  const double age = seconds(now - *e.cold_since) / seconds(s.slow_start_window);
  return age >= 1 ? 1 : s.slow_start_initial_ratio + (1 - s.slow_start_initial_ratio) * std::max(0.0, age);
}

double AdmissionController::Impl::usual_work(std::size_t i) const {
  const double mean = classes[i].mean_estimated_work_s * classes[i].work_factor;
  if (mean == 0) return seconds(s.classes[i].latency_objective) * s.classes[i].threads / 2;
  // where answers tell the work, the told estimate is put right by it; the bias is time, not work
  return s.reports_cost ? mean : mean * std::max(1.0, classes[i].bias);
}

double AdmissionController::Impl::density(const Query& q) const {
  return cls(q).priority_weight / std::max(1e-3, q.work);
}

double AdmissionController::Impl::usual_time(const Query& q, const Attempt& a) const {
  return std::max(a.estimate, a.unloaded * std::exp(classes[pos(q.told.query_class)].best_log_slowdown +
                                                    std::max(0.0, strain)));
}

double AdmissionController::Impl::dearness(const Query& q) const {
  return -std::log(density(q) * (q.over_share ? std::max(0.01, s.over_quota_weight_ratio) : 1));
}

}  // namespace yokestream::policy
