// Which team's head goes next.
//
//  1. Overdue. A head that has been due for more than one `age` is overdue. Overdue teams take turns, the one
//     that was rescued longest ago first, out of an account of their own that fills at `rescue` of what the
//     engines finish: so the lowest gets on under any load, and a crowd of overdue ones takes no more than
//     that part from teams within their budgets.
//  2. Else by standing (owed, within, borrowing; barred ones not at all), among equals by virtual time (SFQ):
//     a team's tag moves on by cost over weight, the lowest goes, who was empty starts where all are.
// Groups are chosen among the top nodes first, then the team within the group, by the same rule.
//
// Choosing costs one pass over the teams. Pure; memory: one record a team.
#pragma once

#include <vector>

#include "scheduler/budget_accounts.h"
#include "scheduler/request_queue.h"

namespace yokestream::scheduler {

class TeamSelector {
 public:
  void reset_teams(Time now, std::size_t count);
  void set_overdue_rate(Time now, double overdue_rate);

  struct Selection {
    std::size_t team = kNoTeam;
    bool overdue = false;  // it goes for being overdue
  };
  // The team whose head goes next, kNone: none may. `may(team)`: is there room for it?
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
  std::vector<Candidate> candidates_;  // kept for its memory
  double virtual_time_ = 0, overdue_rate_ = 0, overdue_balance_ = 0;
  Time refilled_at_{};
};

}  // namespace yokestream::scheduler
