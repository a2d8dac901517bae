#include "scheduler/budget_accounts.h"

#include <algorithm>

#include "base/seconds.h"

namespace yokestream::scheduler {
namespace {

constexpr double kFloorCeilingBurstS = 1.0;  // largest balance of floor and ceiling accounts

}  // namespace

void BudgetAccounts::configure(Time now, const Settings& settings) {
  const auto previous = balances(now);
  period_s_ = seconds_of(settings.budget_period);
  overdue_share_ = settings.overdue_share;
  nodes_.clear();
  for (const Team& team : settings.teams) {
    Node node;
    node.name = team.name;
    node.budget_s = team.budget_s, node.share = team.share, node.burst_periods = team.burst_periods;
    node.floor = team.floor, node.ceiling = team.ceiling;
    nodes_.push_back(node);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (std::size_t j = 0; j < nodes_.size() && !settings.teams[i].group.empty(); ++j) {
      if (settings.teams[i].group == nodes_[j].name) nodes_[i].parent = j, nodes_[j].is_leaf = false;
    }
  }
  refilled_at_ = now;
  set_throughput(now, throughput_);
  for (Node& node : nodes_) {
    node.budget_balance = unscaled_rate(node) * budget_scale_ * period_s_ * node.burst_periods;
    node.floor_balance = node.floor * throughput_ * kFloorCeilingBurstS;
    node.ceiling_balance = node.ceiling * throughput_ * kFloorCeilingBurstS;
  }
  restore(now, previous);
}

double BudgetAccounts::unscaled_rate(const Node& node) const {
  return node.budget_s >= 0 ? node.budget_s / period_s_ : node.share * throughput_;
}

void BudgetAccounts::set_throughput(Time now, double throughput) {
  refill(now);
  throughput_ = throughput;
  double total = 0;
  for (const Node& node : nodes_) total += node.parent == kNoTeam ? unscaled_rate(node) : 0;
  budget_scale_ = total > throughput_ ? throughput_ / total : 1;
}

double BudgetAccounts::budget_rate(std::size_t node) const {
  return unscaled_rate(nodes_[node]) * budget_scale_;
}

double BudgetAccounts::guaranteed_rate(std::size_t node) const {
  return std::max({budget_rate(node), nodes_[node].floor * throughput_,
                   overdue_share_ * throughput_ / static_cast<double>(nodes_.size())});
}

void BudgetAccounts::refill(Time now) {
  const double elapsed_s = seconds_of(now - refilled_at_);
  if (elapsed_s <= 0) return;
  refilled_at_ = now;
  for (Node& node : nodes_) {
    const double budget_rate = unscaled_rate(node) * budget_scale_,
                 max_balance = budget_rate * period_s_ * node.burst_periods;
    if (node.budget_balance < max_balance)
      node.budget_balance = std::min(max_balance, node.budget_balance + budget_rate * elapsed_s);
    const double floor_rate = node.floor * throughput_, ceiling_rate = node.ceiling * throughput_;
    node.floor_balance =
        std::min(floor_rate * kFloorCeilingBurstS, node.floor_balance + floor_rate * elapsed_s);
    node.ceiling_balance =
        std::min(ceiling_rate * kFloorCeilingBurstS, node.ceiling_balance + ceiling_rate * elapsed_s);
  }
}

void BudgetAccounts::charge_node(Node& node, double cost) {
  const double max_debt = std::max(unscaled_rate(node) * budget_scale_ * period_s_, 0.0);
  node.budget_balance = std::max(node.budget_balance - cost, -max_debt);
  node.floor_balance = std::max(node.floor_balance - cost, -node.floor * throughput_ * kFloorCeilingBurstS);
  node.ceiling_balance -= cost;
}

void BudgetAccounts::charge(Time now, std::size_t node, double cost) {
  refill(now);
  charge_node(nodes_[node], cost);
  if (nodes_[node].parent != kNoTeam) charge_node(nodes_[nodes_[node].parent], cost);
}

BudgetStatus BudgetAccounts::status(Time now, std::size_t node) {
  refill(now);
  const Node& n = nodes_[node];
  if (n.ceiling < 1 && n.ceiling_balance <= 0) return BudgetStatus::at_ceiling;
  if (n.floor > 0 && n.floor_balance > 0) return BudgetStatus::below_floor;
  return n.budget_balance > 0 ? BudgetStatus::within_budget : BudgetStatus::borrowing;
}

double BudgetAccounts::budget_balance(Time now, std::size_t node) {
  refill(now);
  return nodes_[node].budget_balance;
}

std::vector<BudgetAccounts::Balance> BudgetAccounts::balances(Time now) {
  refill(now);
  std::vector<Balance> out;
  for (const Node& n : nodes_) out.push_back({n.name, n.budget_balance, n.floor_balance, n.ceiling_balance});
  return out;
}

void BudgetAccounts::restore(Time now, const std::vector<Balance>& balances) {
  refill(now);
  for (const Balance& b : balances) {
    for (Node& node : nodes_) {
      if (node.name != b.name) continue;
      const double period_budget = unscaled_rate(node) * budget_scale_ * period_s_;
      node.budget_balance = std::clamp(b.budget, -period_budget, period_budget * node.burst_periods);
      node.floor_balance = std::min(b.floor, node.floor * throughput_ * kFloorCeilingBurstS);
      node.ceiling_balance = std::min(b.ceiling, node.ceiling * throughput_ * kFloorCeilingBurstS);
    }
  }
}

}  // namespace yokestream::scheduler
