#include "workload_statistics.h"

#include <cmath>

namespace yokestream::policy {
namespace {

// Weights of one arrival in the moving averages.
constexpr double kArrivalWeight = 0.02;
constexpr double kValueWeight = 0.005;  // in the mean value per second of work
constexpr double kMinCostReportWeight = 0.05;
constexpr double kPriorCostReports = 3;  // weight of the prior assumption that work estimates are correct
constexpr double kInitialMemoryFactor = 1.25;  // engines need some memory in addition to the estimate
constexpr double kMaxMemoryFactor = 4.0;
constexpr double kMemoryFactorGrowth = 1.02;  // per spilling query
constexpr double kMemoryFactorDecay = 0.998;  // per query that did not spill
// Majority vote on the usual time left: votes per matching arrival, and the maximum, which limits how many
// arrivals with another time left it takes to change the result.
constexpr int kVotesPerMatch = 2;
constexpr int kMaxTimeLeftVotes = 40;
constexpr double kMinWorkSeconds = 1e-3;
constexpr double kMinComparedWorkSeconds = 1e-6;  // far below the work of any query
constexpr double kMinOverQuotaRatio = 0.01;

}  // namespace

WorkloadStatistics::WorkloadStatistics(const Settings& settings)
    : settings_(settings), classes_(settings.classes.size()) {
  for (auto& state : classes_) state.memory_factor = kInitialMemoryFactor;
}

double WorkloadStatistics::observe_work(const QueryArrived& request, double class_bias) {
  const std::size_t class_index = index_of(request.query_class);
  if (!request.work) return usual_work_s(class_index, class_bias);
  ClassState& state = classes_[class_index];
  const double estimated_s = to_seconds(*request.work);
  const double work_s = estimated_s * state.work_factor;
  ++state.arrivals;
  state.mean_estimated_work_s +=
      std::max(kArrivalWeight, 1 / state.arrivals) * (estimated_s - state.mean_estimated_work_s);
  return work_s;
}

// Finds the time left that most queries of the class have on arrival, by majority vote.
void WorkloadStatistics::observe_time_left(const QueryArrived& request) {
  ClassState& state = classes_[index_of(request.query_class)];
  if (std::chrono::abs(request.time_left - state.usual_time_left) <= kTickInterval) {
    state.usual_time_left_votes = std::min(state.usual_time_left_votes + kVotesPerMatch, kMaxTimeLeftVotes);
    return;
  }
  --state.usual_time_left_votes;
  if (state.usual_time_left_votes >= 0) return;
  state.usual_time_left = request.time_left;
  state.usual_time_left_votes = kVotesPerMatch;
}

// Failure: the objective of a client's retry counts from its first request, so a late retry may take the
// capacity of a new query. Symptom: engines work for responses that no longer earn the full weight. Guard: a
// query with less time left than usual for its class is dated back to its first request. A query that is not
// marked as a retry and has less time left than the objective comes from an impatient client and is not dated
// back.
Time WorkloadStatistics::observe_objective(const QueryArrived& request, double work_s, Time now) {
  const auto& query_class = settings_.classes[index_of(request.query_class)];
  Time objective = now + query_class.latency_objective +
                   from_seconds(query_class.latency_objective_stretch * work_s / query_class.threads);
  observe_time_left(request);
  const Duration usual = classes_[index_of(request.query_class)].usual_time_left;
  const bool has_less_time_than_usual = request.time_left + kTickInterval < usual;
  if (has_less_time_than_usual && (request.is_retry || request.time_left > query_class.latency_objective))
    objective -= std::max(Duration{}, query_class.deadline - request.time_left);
  return objective;
}

void WorkloadStatistics::observe_mean_work(double work_s) {
  mean_work_s_ += (mean_work_s_ == 0 ? 1 : kArrivalWeight) * (work_s - mean_work_s_);
}

void WorkloadStatistics::observe_means(const Query& query, bool unannounced) {
  if (unannounced) {
    const double time_s = query.work_s / settings_of(query).threads;
    unannounced_time_s_ += kArrivalWeight * (time_s - unannounced_time_s_);
    unannounced_work_s_ += kArrivalWeight * (query.work_s - unannounced_work_s_);
    unannounced_memory_mb_s_ +=
        kArrivalWeight * (time_s * query.request.memory_mb - unannounced_memory_mb_s_);
    unannounced_mean_.threads = unannounced_work_s_ / unannounced_time_s_;
    unannounced_mean_.memory_mb = unannounced_memory_mb_s_ / unannounced_time_s_;
  }
  const double weight = mean_value_per_work_second_ == 0 ? 1 : kValueWeight;
  mean_value_per_work_second_ += weight * (value_per_work_second(query) - mean_value_per_work_second_);
}

// Averages logarithms, because work estimates are noisy and an attempt with a bad plan takes many times its
// estimate.
//
// Failure: a client's estimate is zero or next to it. Symptom: the factor becomes infinite, and every later
// query of the class is rejected. Guard: both sides of the ratio have a lower bound.
void WorkloadStatistics::observe_reported_work(std::size_t class_index, Duration estimated,
                                               Duration reported) {
  ClassState& state = classes_[class_index];
  const double expected_s = std::max(kMinComparedWorkSeconds, to_seconds(estimated) * state.work_factor);
  const double ratio = std::max(kMinComparedWorkSeconds, to_seconds(reported)) / expected_s;
  ++state.cost_reports;
  state.work_factor *=
      std::pow(ratio, std::max(kMinCostReportWeight, 1 / (state.cost_reports + kPriorCostReports)));
}

void WorkloadStatistics::observe_sufficient_memory(std::size_t class_index) {
  double& factor = classes_[class_index].memory_factor;
  factor = std::max(1.0, factor * kMemoryFactorDecay);
}

void WorkloadStatistics::observe_spill(std::size_t class_index) {
  double& factor = classes_[class_index].memory_factor;
  factor = std::min(kMaxMemoryFactor, factor * kMemoryFactorGrowth);
}

// Work estimates are corrected by the reported work if responses report it, otherwise by the class's bias.
double WorkloadStatistics::usual_work_s(std::size_t class_index, double class_bias) const {
  const ClassState& state = classes_[class_index];
  const double mean = state.mean_estimated_work_s * state.work_factor;
  if (mean == 0) {
    const auto& query_class = settings_.classes[class_index];
    return to_seconds(query_class.latency_objective) * query_class.threads / 2;
  }
  return settings_.reports_cost ? mean : mean * std::max(1.0, class_bias);
}

double WorkloadStatistics::value_per_work_second(const Query& query) const {
  return settings_of(query).priority_weight / std::max(kMinWorkSeconds, query.work_s);
}

double WorkloadStatistics::relative_value(const Query& query) const {
  constexpr double kMinMeanValue = 1e-9;
  return value_per_work_second(query) / std::max(kMinMeanValue, mean_value_per_work_second_);
}

double WorkloadStatistics::cost_per_value(const Query& query) const {
  const double ratio = query.over_quota ? std::max(kMinOverQuotaRatio, settings_.over_quota_weight_ratio) : 1;
  return -std::log(value_per_work_second(query) * ratio);
}

void WorkloadStatistics::save(LearnedState& state) const {
  state.pool.mean_work_s = mean_work_s_;
  state.pool.unannounced_time_s = unannounced_time_s_;
  state.pool.unannounced_work_s = unannounced_work_s_;
  state.pool.unannounced_memory_mb_s = unannounced_memory_mb_s_;
  state.pool.mean_unannounced_threads = unannounced_mean_.threads;
  state.pool.mean_unannounced_memory_mb = unannounced_mean_.memory_mb;
  state.pool.mean_value_per_work_second = mean_value_per_work_second_;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    LearnedClass& learned = state.classes[i];
    learned.arrivals = classes_[i].arrivals;
    learned.mean_estimated_work_s = classes_[i].mean_estimated_work_s;
    learned.cost_reports = classes_[i].cost_reports;
    learned.work_factor = classes_[i].work_factor;
    learned.memory_factor = classes_[i].memory_factor;
  }
}

void WorkloadStatistics::restore(const LearnedState& state) {
  mean_work_s_ = state.pool.mean_work_s;
  unannounced_time_s_ = state.pool.unannounced_time_s;
  unannounced_work_s_ = state.pool.unannounced_work_s;
  unannounced_memory_mb_s_ = state.pool.unannounced_memory_mb_s;
  unannounced_mean_.threads = state.pool.mean_unannounced_threads;
  unannounced_mean_.memory_mb = state.pool.mean_unannounced_memory_mb;
  mean_value_per_work_second_ = state.pool.mean_value_per_work_second;
  for (std::size_t i = 0; i < classes_.size(); ++i) {
    const LearnedClass& learned = state.classes[i];
    classes_[i].arrivals = learned.arrivals;
    classes_[i].mean_estimated_work_s = learned.mean_estimated_work_s;
    classes_[i].cost_reports = learned.cost_reports;
    classes_[i].work_factor = learned.work_factor;
    classes_[i].memory_factor = learned.memory_factor;
  }
}

}  // namespace yokestream::policy
