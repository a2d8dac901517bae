// Proposes team budgets for a deadline hour: solves a linear programme (GLPK) over the expected traffic.
//
//   x[t,c]    engine-seconds served per second, of team t's class c: 0 to the demand
//   s[t]      shortfall of team t against its floor
//   maximize  sum of x[t,c] * value[c] / work[t,c]  -  kFloorPenalty * sum of s[t]
//   with      the sum of all x at most the engines' capacity; a team's x at most its ceiling and, with s[t],
//             at least its floor (no more than its demand); the same for a group over its teams
// A team's budget is what it is served per second, times the span. Floors that cannot be met together show as
// s > 0.
//
// No I/O. Not linked into `serve`.
#pragma once

#include <string>
#include <vector>

#include "scheduler/settings.h"

namespace yokestream::budget_planner {

struct TrafficStream {
  std::size_t team = 0, query_class = 0;
  double per_s = 0;   // requests per second
  double work_s = 0;  // engine-seconds per request
};
struct PlanInput {
  double cores = 1;           // of all engines
  double utilization = 0.85;  // fraction of the cores that does work; 0 to 1
  std::vector<scheduler::Team> teams;
  std::vector<double> class_values;  // value of one request, by class
  std::vector<TrafficStream> traffic;
};
struct BudgetPlan {
  struct Share {  // engine-seconds per second
    double demand = 0, served = 0;
    double shortfall = 0;  // against the floor
  };
  std::vector<Share> teams;  // in the order of PlanInput::teams
  double value = 0;          // per second
  double shortfall = 0;      // of all teams
};

// Throws std::invalid_argument if the input is not valid and std::runtime_error if the solver fails.
BudgetPlan plan_budgets(const PlanInput& input);

// Reads CSV: a heading, then owner,class,per_s,work_s. Throws std::runtime_error naming the line.
std::vector<TrafficStream> read_traffic(const std::string& text, const std::vector<std::string>& owners,
                                        const std::vector<std::string>& classes,
                                        const std::vector<std::size_t>& team_of);
// The plan as a fragment of an operator file in Jsonnet. Comments name the floors that cannot be met.
std::string to_jsonnet(const PlanInput& input, const BudgetPlan& plan, policy::Duration span);

}  // namespace yokestream::budget_planner
