// Selects the team whose first queued request is dispatched next.
//
//  1. Starvation guard. A request is overdue once more than one ageing step has passed since its due time.
//     Teams whose first request is overdue take turns, the least recently served one first. They are served
//     from an account of their own, which fills at the overdue share of the engines' throughput: the lowest
//     team makes progress under any load, and many overdue teams together take no more than this share from
//     teams within their budgets.
//  2. Otherwise by budget status (below_floor, within_budget, borrowing; never at_ceiling) and, within one
//     status, by start-time fair queueing (SFQ): the team with the lowest virtual time is next, and its
//     virtual time advances by cost over weight. A team that was idle starts at the current virtual time.
// Groups and teams without a group are compared first, then the teams within the selected group, by the same
// rule.
//
// Selecting costs one pass over the teams. Pure. Memory: one record per team.
#pragma once

#include <vector>

#include "scheduler/budget_accounts.h"
#include "scheduler/request_queue.h"

namespace yokestream::scheduler {

class TeamSelector {
 public:
  void reset_teams(Time now, std::size_t count);
  void set_overdue_rate(Time now, double overdue_rate);  // engine-seconds per second

  struct Selection {
    std::size_t team = kNoTeam;
    bool overdue = false;  // selected by the starvation guard
  };
  // kNoTeam: no team may be served. `has_capacity(team)`: may the team's first request be dispatched?
  template <class HasCapacity>
  Selection select(Time now, const RequestQueue& queue, BudgetAccounts& accounts, Duration ageing_step,
                   HasCapacity has_capacity) {
    refill(now);
    candidates_.clear();
    for (std::size_t team = 0; team < states_.size(); ++team) {
      const auto head = queue.head(team);
      if (!head || !has_capacity(team)) continue;
      Candidate c{team, accounts.parent(team), accounts.status(now, team), queue.at(*head).due};
      if (c.parent != kNoTeam) c.group_status = accounts.status(now, c.parent);
      if (c.status == BudgetStatus::at_ceiling || c.group_status == BudgetStatus::at_ceiling) continue;
      candidates_.push_back(c);
    }
    return select_candidate(now, ageing_step);
  }
  void on_dispatched(Time now, Selection selection, double cost, const BudgetAccounts& accounts);
  // Corrects the virtual time by a difference in cost.
  void adjust(std::size_t team, double cost, const BudgetAccounts& accounts);

 private:
  struct Candidate {
    std::size_t team = 0, parent = kNoTeam;
    BudgetStatus status{};
    Time due{};
    BudgetStatus group_status = BudgetStatus::within_budget;
  };
  struct TeamState {
    double virtual_time = 0;
    Time overdue_served_at{};
  };
  Selection select_candidate(Time now, Duration ageing_step);
  void refill(Time now);

  std::vector<TeamState> states_;
  std::vector<Candidate> candidates_;  // reused, so that selecting does not allocate
  double virtual_time_ = 0, overdue_rate_ = 0, overdue_balance_ = 0;
  Time refilled_at_{};
};

}  // namespace yokestream::scheduler
