// Operator settings of the scheduler. src/operator checks the ranges when it reads them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::scheduler {

using policy::Duration;
using policy::QueryId;
using policy::Time;

// Service levels: 0 can wait, 1 normal, 2 prompt, 3 urgent.
constexpr std::size_t kServiceLevels = 4;
constexpr std::size_t kNoTeam = ~std::size_t{0};

// A team or a group of teams: a node of a tree of two levels. An engine-second is one second of one core.
struct Team {
  std::string name;
  std::string group;                     // name of a node that is in no group itself; empty: none
  double budget_s = -1;                  // engine-seconds per budget period; negative: derived from `share`
  double share = 0;                      // fraction of the engines, used where no budget is set; 0 to 1
  double burst_periods = 1;              // largest saved balance, in budgets of one period; 0 to 10
  double floor = 0;                      // fraction of the engines guaranteed whatever the balance; 0 to 1
  double ceiling = 1;                    // largest fraction of the engines; 0 to 1
  std::vector<unsigned> level_by_class;  // service level; a missing class has level 1
};

struct Settings {
  bool enabled = false;
  std::vector<Team> teams;           // the first team takes every tenant that is in no other team
  std::vector<std::size_t> team_of;  // position in `teams`, by tenant; a missing tenant is in team 0
  Duration budget_period = std::chrono::seconds(60);
  Duration ageing_step = std::chrono::seconds(2);  // waiting this long raises a request by one service level
  double overdue_share = 0.1;      // fraction of the engines reserved for overdue requests; 0 to 0.5
  std::size_t max_queued = 16384;  // requests queued over all teams; 1 to 262,144
  // A request is rejected if its estimated wait is over this many times its slack, the longest wait that lets
  // it finish by its soft deadline; 0 to 100. A request of service level 0 may wait until its deadline.
  double slack_factor = 1;
  Duration max_wait = std::chrono::seconds(10);  // a queued request is rejected after this time
  Duration max_retry_after = std::chrono::seconds(30);
  double threads_per_core = 1.4;  // start value of the concurrency limit; 0.5 to 16
  double throttle_headroom = 4;   // multiplies the throttle's limit, as requests wait here; 1 to 64
  double demotion_factor = 5;     // a query running this many times its expected time is demoted; 1.5 to 100
  bool quote_method = false;      // clients may ask for wait estimates, and answers carry them
  double max_priority_changes_per_s = 20;  // messages per engine; 0 to 1,000
};

}  // namespace yokestream::scheduler
