#include "scheduler/wait_forecast.h"

#include <algorithm>
#include <array>

namespace yokestream::scheduler {
namespace {

constexpr int kMaxSteps = 48;
constexpr double kEpsilon = 1e-9;
constexpr double kMinStepS = 1e-3;  // a budget balance near zero would cause many tiny steps

// Divides the throughput among the teams by their status, weight and limits.
void allocate(const std::vector<FluidQueue>& queues, double throughput, std::vector<double>& rates) {
  const auto demand = [&](std::size_t i) {
    const FluidQueue& queue = queues[i];
    return std::min(queue.ceiling_rate, queue.work > kEpsilon ? 1e12 : queue.arrival_rate);
  };
  std::fill(rates.begin(), rates.end(), 0.0);
  for (std::size_t i = 0; i < queues.size(); ++i) {
    rates[i] = std::min({demand(i), queues[i].floor_rate, throughput});
    throughput -= rates[i];
  }
  for (const bool within_budget : {true, false}) {
    // Within budget: all demand, or the budget rate if the balance is zero.
    const auto max_rate = [&](std::size_t i) {
      if (!within_budget || queues[i].budget_balance > 0) return demand(i);
      return queues[i].budget_balance < 0 ? 0.0 : std::min(demand(i), queues[i].budget_rate);
    };
    for (std::size_t round = 0; round <= queues.size() && throughput > kEpsilon; ++round) {
      double weights = 0;
      for (std::size_t i = 0; i < queues.size(); ++i)
        weights += rates[i] < max_rate(i) - kEpsilon ? queues[i].weight : 0;
      if (weights <= 0) break;
      double used = 0;
      for (std::size_t i = 0; i < queues.size(); ++i) {
        if (rates[i] >= max_rate(i) - kEpsilon) continue;
        const double more = std::min(max_rate(i) - rates[i], throughput * queues[i].weight / weights);
        rates[i] += more, used += more;
      }
      throughput -= used;
    }
  }
}

}  // namespace

double drain_time(std::vector<FluidQueue>& queues, std::size_t team, double work_ahead, double throughput,
                  double max_time) {
  thread_local std::vector<double> rates;
  rates.assign(queues.size(), 0.0);
  double elapsed = 0;
  queues[team].work = std::max(queues[team].work, work_ahead);
  for (int step = 0; step < kMaxSteps && elapsed < max_time; ++step) {
    allocate(queues, throughput, rates);
    double step_s = max_time - elapsed;
    if (rates[team] > 0) step_s = std::min(step_s, work_ahead / rates[team]);
    for (std::size_t i = 0; i < queues.size(); ++i) {
      const double drain_rate = rates[i] - queues[i].arrival_rate,
                   spend_rate = rates[i] - queues[i].budget_rate;
      if (queues[i].work > kEpsilon && drain_rate > kEpsilon)
        step_s = std::min(step_s, queues[i].work / drain_rate);
      if (queues[i].budget_balance * spend_rate > 0)
        step_s = std::min(step_s, queues[i].budget_balance / spend_rate);
    }
    step_s = std::min(max_time - elapsed,
                      std::max(step_s, std::min(kMinStepS, work_ahead / std::max(rates[team], kEpsilon))));
    work_ahead -= rates[team] * step_s;
    elapsed += step_s;
    if (work_ahead <= kEpsilon) return elapsed;
    for (std::size_t i = 0; i < queues.size(); ++i) {
      FluidQueue& queue = queues[i];
      queue.work = std::max(0.0, queue.work + (queue.arrival_rate - rates[i]) * step_s);
      queue.budget_balance += (queue.budget_rate - rates[i]) * step_s;
      if (queue.budget_balance < kEpsilon && queue.budget_balance > -kEpsilon)
        queue.budget_balance = 0;  // an event up to rounding
    }
  }
  return max_time;
}

}  // namespace yokestream::scheduler
