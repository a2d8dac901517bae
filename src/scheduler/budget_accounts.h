// Token-bucket accounts of each team and group: budgets in engine-seconds, with borrowing that is repaid, and
// minimum (floor) and maximum (ceiling) shares of the engines.
//
// Each node (a team or a group of teams) has three accounts. They fill with time and are charged with the
// cost of dispatched requests. The budget account fills at one budget per budget period, saves up a burst and
// goes into debt when the team borrows. The floor and ceiling accounts fill at their fraction of the engines'
// throughput. The balances give the node's status:
//   below_floor    floor balance positive: served before all other statuses
//   within_budget  budget balance positive
//   borrowing      neither is positive: served only with capacity that no other team asks for, until the debt
//                  is repaid
//   at_ceiling     ceiling balance used up: not served now
// Debt is limited to one period's budget, so after borrowing a team is back within its budget after one
// period at most. If the budgets add up to more than the engines' throughput, all are scaled down in
// proportion.
//
// Pure. Memory: one record per node. Not thread-safe.
#pragma once

#include <string>
#include <vector>

#include "scheduler/settings.h"

namespace yokestream::scheduler {

// In order of preference.
enum class BudgetStatus { below_floor, within_budget, borrowing, at_ceiling };

class BudgetAccounts {
 public:
  struct Balance {  // engine-seconds
    std::string name;
    double budget = 0, floor = 0, ceiling = 0;
  };

  // Keeps the balances of nodes whose names stay. The first call fills all accounts.
  void configure(Time now, const Settings& settings);
  void set_throughput(Time now, double throughput);  // of the engines, engine-seconds per second

  std::size_t size() const { return nodes_.size(); }
  std::size_t parent(std::size_t node) const { return nodes_[node].parent; }
  bool is_leaf(std::size_t node) const { return nodes_[node].is_leaf; }
  // Charges the node and its group; a negative cost is a refund.
  void charge(Time now, std::size_t node, double cost);
  BudgetStatus status(Time now, std::size_t node);  // of this node alone, without its group
  double budget_rate(std::size_t node) const;       // engine-seconds per second
  // Engine-seconds per second that the node gets while all others compete: the largest of its budget, its
  // floor and its part of the overdue share.
  double guaranteed_rate(std::size_t node) const;
  double weight(std::size_t node) const { return std::max(guaranteed_rate(node), 1e-6); }
  double budget_balance(Time now, std::size_t node);
  double ceiling_rate(std::size_t node) const { return nodes_[node].ceiling * throughput_; }
  std::vector<Balance> balances(Time now);
  void restore(Time now, const std::vector<Balance>& balances);  // by name; unknown names are ignored

 private:
  struct Node {
    std::string name;
    std::size_t parent = kNoTeam;
    bool is_leaf = true;
    double budget_s = -1, share = 0, burst_periods = 1, floor = 0, ceiling = 1;  // as in Team
    double budget_balance = 0, floor_balance = 0, ceiling_balance = 0;
  };
  double unscaled_rate(const Node& node) const;  // budget rate before all budgets are scaled down
  void refill(Time now);
  void charge_node(Node& node, double cost);

  std::vector<Node> nodes_;
  double throughput_ = 1, budget_scale_ = 1, period_s_ = 60, overdue_share_ = 0.1;
  Time refilled_at_{};
};

}  // namespace yokestream::scheduler
