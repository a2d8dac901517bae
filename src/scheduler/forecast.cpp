#include "scheduler/forecast.h"

#include <algorithm>
#include <array>

namespace yokestream::scheduler {
namespace {

constexpr int kSteps = 48;
constexpr double kTiny = 1e-9;
constexpr double kLeastStep = 1e-3;  // seconds: budgets that hover round nothing are not walked drop by drop

// What each gets now, a second.
void allot(const std::vector<Tank>& tanks, double per_s, std::vector<double>& gets) {
  const auto wants = [&](std::size_t i) {
    const Tank& t = tanks[i];
    return std::min(t.ceiling, t.work > kTiny ? 1e12 : t.inflow);
  };
  std::fill(gets.begin(), gets.end(), 0.0);
  for (std::size_t i = 0; i < tanks.size(); ++i) {
    gets[i] = std::min({wants(i), tanks[i].floor, per_s});
    per_s -= gets[i];
  }
  for (const bool within : {true, false}) {
    // Within its budget: all that it wants, or what fills the budget where nothing is left of it.
    const auto most = [&](std::size_t i) {
      if (!within || tanks[i].budget > 0) return wants(i);
      return tanks[i].budget < 0 ? 0.0 : std::min(wants(i), tanks[i].fills);
    };
    for (std::size_t round = 0; round <= tanks.size() && per_s > kTiny; ++round) {
      double weights = 0;
      for (std::size_t i = 0; i < tanks.size(); ++i)
        weights += gets[i] < most(i) - kTiny ? tanks[i].weight : 0;
      if (weights <= 0) break;
      double used = 0;
      for (std::size_t i = 0; i < tanks.size(); ++i) {
        if (gets[i] >= most(i) - kTiny) continue;
        const double more = std::min(most(i) - gets[i], per_s * tanks[i].weight / weights);
        gets[i] += more, used += more;
      }
      per_s -= used;
    }
  }
}

}  // namespace

double drained_after(std::vector<Tank>& tanks, std::size_t team, double ahead, double per_s, double most) {
  thread_local std::vector<double> gets;
  gets.assign(tanks.size(), 0.0);
  double at = 0;
  tanks[team].work = std::max(tanks[team].work, ahead);
  for (int step = 0; step < kSteps && at < most; ++step) {
    allot(tanks, per_s, gets);
    double until = most - at;
    if (gets[team] > 0) until = std::min(until, ahead / gets[team]);
    for (std::size_t i = 0; i < tanks.size(); ++i) {
      const double falls = gets[i] - tanks[i].inflow, spends = gets[i] - tanks[i].fills;
      if (tanks[i].work > kTiny && falls > kTiny) until = std::min(until, tanks[i].work / falls);
      if (tanks[i].budget * spends > 0) until = std::min(until, tanks[i].budget / spends);
    }
    until = std::min(most - at, std::max(until, std::min(kLeastStep, ahead / std::max(gets[team], kTiny))));
    ahead -= gets[team] * until;
    at += until;
    if (ahead <= kTiny) return at;
    for (std::size_t i = 0; i < tanks.size(); ++i) {
      Tank& t = tanks[i];
      t.work = std::max(0.0, t.work + (t.inflow - gets[i]) * until);
      t.budget += (t.fills - gets[i]) * until;
      if (t.budget < kTiny && t.budget > -kTiny) t.budget = 0;  // at an event, but for rounding
    }
  }
  return most;
}

}  // namespace yokestream::scheduler
