// What outcomes and reports teach: weights, levels, strain, bounds, this front's share.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kFitStep = 0.15;     // share of an error that one outcome corrects (LMS step)
constexpr double kOutlier = 3.0;      // errors count as at most this many mean errors
constexpr double kLevelStep = 0.03;   // weight of one outcome in a class's level: some 30 make a mean
constexpr double kBestRise = 0.002;   // share by which the best follows a worse level: over minutes
constexpr double kSlowStep = 0.1;     // weight of one outcome in an engine's slowdown
constexpr double kNearBest = 1.6;     // below this the bound widens
constexpr double kFarFromBest = 2.2;  // above this the bound is cut
constexpr double kWiden = 0.05;       // threads a core and outcome, over the bound
constexpr double kPriceHeard = 0.05;  // seconds by which one outcome may lower it
constexpr double kFewOutcomes = 6;    // recent outcomes at which an engine's own slowdown counts half
constexpr double kSlowFade = 10;      // seconds after which they count a third
constexpr double kPartStep = 0.02;    // share by which an outcome moves the part
constexpr double kShareStep = 0.01;   // weight of a load report in this front's share

}  // namespace

void AdmissionController::Impl::learn(const Query& q, const Attempt& a, Engine& e, double took) {
  const std::size_t i = pos(q.told.query_class);
  auto& c = classes[i];
  const double ratio = took / a.unloaded * e.warm;
  const double raw = ratio - c.bias - interference(e.interference, i, a.mix);
  // an outlier counts for twice the prediction at most: means of what takes 30 times as long run away
  const double most = std::min(kOutlier * c.mean_error, std::max(1.0, ratio - raw));
  const double error = std::clamp(raw, -kOutlier * c.mean_error, most);
  c.mean_error += kBiasStep * (std::abs(error) - c.mean_error);
  e.mean_error[i] += kBiasStep * (std::abs(error) - e.mean_error[i]);
  c.bias = std::max(0.1, c.bias + kBiasStep * error / std::sqrt(norm(a.mix)));
  learn_weights(e.interference, i, a.mix, kFitStep * error);
  if (pos(e.entry.kind) < kinds.size()) {
    InterferenceWeights& kind = kinds[pos(e.entry.kind)];
    const double off = ratio - c.bias - interference(kind, i, a.mix);
    const double cut = kOutlier * c.mean_error;
    learn_weights(kind, i, a.mix, kFitStep * std::clamp(off, -cut, cut));
  }
  // told work scatters, single outcomes say little: means of logarithms are compared, engine's to best
  const double level = std::log(std::max(1e-3, ratio));
  ++c.outcomes;
  c.mean_log_slowdown += std::max(kLevelStep, 1 / c.outcomes) * (level - c.mean_log_slowdown);
  c.log_slowdown_deviation += std::max(kLevelStep, 1 / (c.outcomes + 1)) *
                              (std::abs(level - c.mean_log_slowdown) - c.log_slowdown_deviation);
  if (c.outcomes <= 1 / kLevelStep || c.mean_log_slowdown < c.best_log_slowdown)
    c.best_log_slowdown = c.mean_log_slowdown;
  else
    c.best_log_slowdown += kBestRise * (c.mean_log_slowdown - c.best_log_slowdown);
  const double over = std::min(level - c.best_log_slowdown, kStrainMost);
  strain += kStrainStep * (over - strain);
  heard = std::min(1.0, heard + kPriceHeard);
  e.recent_outcomes = recent(e) + 1;
  e.slow_at = now;
  e.log_slowdown += std::max(kSlowStep, 1 / e.recent_outcomes) * (over - e.log_slowdown);
  const double widest = kFull * cores * share;
  if (strain < std::log(kNearBest) && !held.empty()) pool_bound += kWiden * s.classes[i].threads;
  if (strain > std::log(kFarFromBest)) pool_bound *= kCut;
  pool_bound = std::clamp(pool_bound, std::min(1.0, widest), widest);
  if (slowdown(e) < kNearBest) e.bound += kWiden * s.classes[i].threads;
  if (slowdown(e) > kFarFromBest) e.bound *= kCut;
  // Danger: the told front count says little of a front's part: peers die, are idle, or carry unequal
  // loads. Near best, with queries held here, others leave room: the part grows; latency takes it back.
  if (slowdown(e) < kNearBest && !held.empty()) e.part *= 1 + kPartStep;
  if (slowdown(e) > kPressure) e.part *= 1 - 2 * kPartStep;
  e.part = std::clamp(e.part, share, 1.0);
  e.bound = std::clamp(e.bound, 1.0, std::max(1.0, kFull * e.cores * e.part));
}

// A front of many sees few outcomes an engine: what is missing is taken from the pool, by count and age.
double AdmissionController::Impl::recent(const Engine& e) const {
  return e.recent_outcomes > 0 ? e.recent_outcomes * std::exp(-seconds(now - e.slow_at) / kSlowFade) : 0;
}

double AdmissionController::Impl::slowdown(const Engine& e) const {
  const double own = recent(e) / (recent(e) + kFewOutcomes);
  return std::exp(own * e.log_slowdown + (1 - own) * strain);
}

bool AdmissionController::Impl::pressed(const Engine& e) const {
  return slowdown(e) > kPressure || e.full_backoff > kFullLeast;
}

void AdmissionController::Impl::see_others(Engine& e, double inflight,
                                           double busy) {  // queries, and threads that stand for load
  const double unknown = inflight - static_cast<double>(e.running.size() + e.told.size());
  e.others = std::max({0.0, unknown * mean_unannounced_threads, busy - e.threads - e.told_threads});
  e.others_at = now;
  e.fresh = 1;
  if (pool_others == 0) pool_others = kPoolPrior * (1 - share);
}

// Reports tell queries, busy cores, busy disks, the line for memory or memory granted; each is taken as
// running threads, the most that any of them stands for.
void AdmissionController::Impl::read_report(Engine& e, const std::vector<double>& report) {
  double inflight = -1, busy = -1, line = 0;
  for (std::size_t k = 0; k < report.size() && k < s.load_report_fields.size(); ++k) {
    const LoadReportField field = s.load_report_fields[k];
    if (!(report[k] >= 0)) continue;
    if (field == LoadReportField::inflight) inflight = report[k];
    if (field == LoadReportField::queue) line = report[k];
    if (field == LoadReportField::cpu || field == LoadReportField::disks) busy = std::max(busy, report[k]);
    if (field == LoadReportField::memory) {
      e.others_memory = std::max(0.0, report[k] * e.memory - e.granted - e.told_memory);
      if (pool_memory < 0) pool_memory = kPriorMemory * (1 - share);
    }
  }
  if (inflight < 0 && busy < 0) return;
  e.reported = std::max(0.0, inflight);
  see_others(e, e.reported + line, kFullAll * e.cores * busy + line * mean_unannounced_threads);
  if (inflight < 1) return;
  // Danger: fronts carry unequal loads; an even share starves the large ones. Sums, as counts are small.
  observed_own_queries += kShareStep * (static_cast<double>(e.running.size()) - observed_own_queries);
  observed_all_queries += kShareStep * (inflight - observed_all_queries);
  share = std::clamp(observed_own_queries / observed_all_queries, 1.0 / fronts, 1.0);
}

}  // namespace yokestream::policy
