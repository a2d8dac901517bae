#include "throttle/cost.h"

#include <algorithm>
#include <cmath>

namespace yokestream::throttle {
namespace {

constexpr double kMinOutcomeWeight = 0.1;  // of one outcome in the means, once there are many
constexpr double kHalfTrustOutcomes = 8;   // outcomes at which a pair counts as much as its class
constexpr double kMaxLogRatio = 4;         // limits the effect of bad query plans and absurd estimates
constexpr double kUnknownClassCostS = 0.2;
constexpr double kMinCostS = 1e-3;

}  // namespace

CostEstimator::CostEstimator(std::size_t tenants, std::size_t classes)
    : tenants_(tenants),
      classes_(std::max<std::size_t>(classes, 1)),
      by_class_(classes_),
      by_pair_((tenants + 1) * classes_) {}

double CostEstimator::estimate_s(std::size_t tenant, std::size_t query_class, double reported_s) const {
  const Statistics& own = by_pair_[pair_index(tenant, query_class)];
  const Statistics& all = by_class_[class_index(query_class)];
  const double trust = own.count / (own.count + kHalfTrustOutcomes);
  if (reported_s <= 0) {
    const double mean_s = all.count == 0 ? kUnknownClassCostS : trust * own.mean_s + (1 - trust) * all.mean_s;
    return std::max(kMinCostS, mean_s);
  }
  return std::max(kMinCostS, reported_s * std::exp(trust * own.log_ratio + (1 - trust) * all.log_ratio));
}

void CostEstimator::update(Statistics& statistics, double reported_s, double measured_s) {
  ++statistics.count;
  const double weight = std::max(kMinOutcomeWeight, 1 / statistics.count);
  statistics.mean_s += weight * (measured_s - statistics.mean_s);
  if (reported_s > 0)
    statistics.log_ratio +=
        weight *
        (std::clamp(std::log(measured_s / reported_s), -kMaxLogRatio, kMaxLogRatio) - statistics.log_ratio);
}

void CostEstimator::record(std::size_t tenant, std::size_t query_class, double reported_s,
                           double measured_s) {
  if (measured_s <= 0) return;
  update(by_class_[class_index(query_class)], reported_s, measured_s);
  update(by_pair_[pair_index(tenant, query_class)], reported_s, measured_s);
}

}  // namespace yokestream::throttle
