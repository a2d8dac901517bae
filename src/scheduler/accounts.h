// What each team may use: budgets in engine-seconds, borrowing that is paid back, floors and ceilings.
//
// Each node (a team, or a group of teams) has three accounts that fill with time and are charged with what
// goes: the budget (fills at budget a span, saves up a burst, falls into debt when the team borrows), the
// floor and the ceiling (each filling at its part of what the engines finish). From them a standing:
//   owed       the floor's account is not empty: before all others
//   within     the budget's account is not empty
//   borrowing  both are empty: only what nobody else asks for, until the debt is paid back
//   barred     the ceiling's account is empty: nothing now
// Debt is bounded by one span's budget, so a team that was lent to waits no longer than a span for its budget
// to count again. Budgets that add up to more than the engines finish are all cut in proportion.
//
// Pure; memory: one record a node. One thread.
#pragma once

#include <string>
#include <vector>

#include "scheduler/settings.h"

namespace yokestream::scheduler {

enum class Standing { owed, within, borrowing, barred };

class Accounts {
 public:
  struct Balance {  // engine-seconds
    std::string name;
    double budget = 0, floor = 0, ceiling = 0;
  };

  // Keeps the balances of nodes whose names stay. The first call fills all accounts.
  void configure(Time now, const Settings& settings);
  void capacity(Time now, double per_s);  // what the engines finish, engine-seconds a second

  std::size_t size() const { return nodes_.size(); }
  std::size_t parent(std::size_t node) const { return nodes_[node].parent; }
  bool leaf(std::size_t node) const { return nodes_[node].leaf; }
  void charge(Time now, std::size_t node, double cost);  // to it and its group; negative: paid back
  Standing standing(Time now, std::size_t node);         // of this node alone
  double rate(std::size_t node) const;                   // engine-seconds a second that the budget gives it
  // What is certain for it while all others ask too: the most of budget, floor and its part of the rescue.
  double certain(std::size_t node) const;
  double weight(std::size_t node) const { return std::max(certain(node), 1e-6); }
  double budget(Time now, std::size_t node);  // balance
  double ceiling(std::size_t node) const { return nodes_[node].ceiling * per_s_; }
  std::vector<Balance> balances(Time now);
  void restore(Time now, const std::vector<Balance>& balances);  // by name; unknown ones are left out

 private:
  struct Node {
    std::string name;
    std::size_t parent = kNone;
    bool leaf = true;
    double told = -1, share = 0, burst = 1, floor = 0, ceiling = 1;
    double budget_left = 0, floor_left = 0, ceiling_left = 0;
  };
  double asked(const Node& node) const;  // budget a second, before all are cut
  void fill(Time now);
  void charge_one(Node& node, double cost);

  std::vector<Node> nodes_;
  double per_s_ = 1, cut_ = 1, span_s_ = 60, rescue_ = 0.1;
  Time at_{};
};

}  // namespace yokestream::scheduler
