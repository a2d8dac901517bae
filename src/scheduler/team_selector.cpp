#include "scheduler/team_selector.h"

#include <algorithm>
#include <tuple>

namespace yokestream::scheduler {

void TeamSelector::reset_teams(Time now, std::size_t count) {
  states_.assign(count, TeamState{virtual_time_, now});
  candidates_.reserve(count);
  refilled_at_ = now;
}

void TeamSelector::set_overdue_rate(Time now, double overdue_rate) {
  refill(now);
  overdue_rate_ = overdue_rate;
}

void TeamSelector::refill(Time now) {
  const double elapsed_s = std::chrono::duration<double>(now - refilled_at_).count();
  if (elapsed_s <= 0) return;
  refilled_at_ = now;
  overdue_balance_ = std::min(overdue_rate_, overdue_balance_ + overdue_rate_ * elapsed_s);
}

TeamSelector::Selection TeamSelector::select_candidate(Time now, Duration ageing_step) {
  const Candidate* best = nullptr;
  if (overdue_balance_ > 0) {
    for (const Candidate& c : candidates_) {
      if (now - c.due <= ageing_step) continue;
      if (!best || std::tie(states_[c.team].overdue_served_at, c.due) <
                       std::tie(states_[best->team].overdue_served_at, best->due))
        best = &c;
    }
    if (best) return {best->team, true};
  }
  // A team in a group is ranked by the group's status and virtual time first, then by its own.
  const auto rank = [this](const Candidate& c) {
    const bool in_group = c.parent != kNoTeam;
    return std::tuple(in_group ? c.group_status : c.status,
                      states_[in_group ? c.parent : c.team].virtual_time, in_group ? c.parent : c.team,
                      c.status, states_[c.team].virtual_time, c.team);
  };
  for (const Candidate& c : candidates_) {
    if (!best || rank(c) < rank(*best)) best = &c;
  }
  return best ? Selection{best->team, false} : Selection{};
}

void TeamSelector::on_dispatched(Time now, Selection selection, double cost, const BudgetAccounts& accounts) {
  refill(now);
  const std::size_t team = selection.team;
  TeamState& own = states_[team];
  const std::size_t top = accounts.parent(team) == kNoTeam ? team : accounts.parent(team);
  if (selection.overdue) overdue_balance_ -= cost, own.overdue_served_at = now;
  // An idle team starts at the current virtual time, so that it does not accumulate credit.
  states_[top].virtual_time = std::max(states_[top].virtual_time, virtual_time_);
  virtual_time_ = std::max(virtual_time_, states_[top].virtual_time);
  states_[top].virtual_time += cost / accounts.weight(top);
  if (top == team) return;
  double min_sibling_time = 0;  // smallest virtual time of the group's other teams
  bool first = true;
  for (std::size_t i = 0; i < states_.size(); ++i) {
    if (accounts.parent(i) != top || i == team) continue;
    min_sibling_time = first ? states_[i].virtual_time : std::min(min_sibling_time, states_[i].virtual_time),
    first = false;
  }
  own.virtual_time = std::max(own.virtual_time,
                              first ? own.virtual_time : std::min(min_sibling_time, own.virtual_time + 1)) +
                     cost / accounts.weight(team);
}

void TeamSelector::adjust(std::size_t team, double cost, const BudgetAccounts& accounts) {
  const std::size_t top = accounts.parent(team) == kNoTeam ? team : accounts.parent(team);
  states_[top].virtual_time += cost / accounts.weight(top);
  if (top != team) states_[team].virtual_time += cost / accounts.weight(team);
}

}  // namespace yokestream::scheduler
