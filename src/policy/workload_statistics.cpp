#include "workload_statistics.h"

#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kArrivalWeight = 0.02;        // of one arrival in the means
constexpr double kValueWeight = 0.005;         // of one arrival in the mean value of a second of work
constexpr double kWorkFactorStep = 0.05;       // of one report, at least
constexpr double kPresumedCostReports = 3;     // that told estimates were right, before any report
constexpr double kInitialMemoryFactor = 1.25;  // engines add some memory of their own
constexpr double kMaxMemoryFactor = 4.0;
constexpr double kMemoryFactorGrowth = 1.02;
constexpr double kMemoryFactorDecay = 0.998;
constexpr int kTimeLeftVote = 2;
constexpr int kMaxTimeLeftVotes = 40;  // arrivals of another kind that change what is usual
constexpr double kLeastWorkSeconds = 1e-3;
constexpr double kLeastOverQuotaRatio = 0.01;

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

// The time left that most queries of the class have on arrival, by majority vote.
void WorkloadStatistics::observe_time_left(const QueryArrived& request) {
  ClassState& state = classes_[index_of(request.query_class)];
  if (std::chrono::abs(request.time_left - state.usual_time_left) <= kTickInterval) {
    state.usual_time_left_votes = std::min(state.usual_time_left_votes + kTimeLeftVote, kMaxTimeLeftVotes);
    return;
  }
  --state.usual_time_left_votes;
  if (state.usual_time_left_votes >= 0) return;
  state.usual_time_left = request.time_left;
  state.usual_time_left_votes = kTimeLeftVote;
}

// Failure: a client that retries counts from its first request; serving it late takes a fresh query's place.
// Symptom: work is done for responses that have lost their weight. Guard: less time left than most have tells
// how long ago the first request was. Less than the objective is a client in a hurry, in time at any moment.
Time WorkloadStatistics::observe_objective(const QueryArrived& request, double work_s, Time now) {
  const auto& query_class = settings_.classes[index_of(request.query_class)];
  Time objective = now + query_class.latency_objective +
                   from_seconds(query_class.latency_objective_stretch * work_s / query_class.threads);
  observe_time_left(request);
  const Duration usual = classes_[index_of(request.query_class)].usual_time_left;
  const bool began_earlier = request.time_left + kTickInterval < usual;
  if (began_earlier && (request.is_retry || request.time_left > query_class.latency_objective))
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

// A mean of logarithms: an attempt with a bad plan takes many times its told work, and told work scatters.
void WorkloadStatistics::observe_reported_work(std::size_t class_index, Duration estimated,
                                               Duration reported) {
  ClassState& state = classes_[class_index];
  const double ratio = to_seconds(reported) / (to_seconds(estimated) * state.work_factor);
  ++state.cost_reports;
  state.work_factor *=
      std::pow(ratio, std::max(kWorkFactorStep, 1 / (state.cost_reports + kPresumedCostReports)));
}

void WorkloadStatistics::observe_sufficient_memory(std::size_t class_index) {
  double& factor = classes_[class_index].memory_factor;
  factor = std::max(1.0, factor * kMemoryFactorDecay);
}

void WorkloadStatistics::observe_spill(std::size_t class_index) {
  double& factor = classes_[class_index].memory_factor;
  factor = std::min(kMaxMemoryFactor, factor * kMemoryFactorGrowth);
}

// Where responses report the work, told estimates are corrected by it; elsewhere by the time they take.
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
  return settings_of(query).priority_weight / std::max(kLeastWorkSeconds, query.work_s);
}

double WorkloadStatistics::relative_value(const Query& query) const {
  constexpr double kLeastMean = 1e-9;
  return value_per_work_second(query) / std::max(kLeastMean, mean_value_per_work_second_);
}

double WorkloadStatistics::cost_per_value(const Query& query) const {
  const double ratio =
      query.over_quota ? std::max(kLeastOverQuotaRatio, settings_.over_quota_weight_ratio) : 1;
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
