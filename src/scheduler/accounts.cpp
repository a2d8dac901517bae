#include "scheduler/accounts.h"

#include <algorithm>

#include "base/seconds.h"

namespace yokestream::scheduler {
namespace {

constexpr double kRunUp = 1.0;  // seconds' worth that floors and ceilings save up

}  // namespace

void Accounts::configure(Time now, const Settings& settings) {
  const auto before = balances(now);
  span_s_ = seconds_of(settings.span);
  rescue_ = settings.rescue;
  nodes_.clear();
  for (const Team& team : settings.teams) {
    Node node;
    node.name = team.name;
    node.told = team.budget, node.share = team.share, node.burst = team.burst;
    node.floor = team.floor, node.ceiling = team.ceiling;
    nodes_.push_back(node);
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    for (std::size_t j = 0; j < nodes_.size() && !settings.teams[i].group.empty(); ++j) {
      if (settings.teams[i].group == nodes_[j].name) nodes_[i].parent = j, nodes_[j].leaf = false;
    }
  }
  at_ = now;
  capacity(now, per_s_);
  for (Node& node : nodes_) {
    node.budget_left = asked(node) * cut_ * span_s_ * node.burst;
    node.floor_left = node.floor * per_s_ * kRunUp;
    node.ceiling_left = node.ceiling * per_s_ * kRunUp;
  }
  restore(now, before);
}

double Accounts::asked(const Node& node) const {
  return node.told >= 0 ? node.told / span_s_ : node.share * per_s_;
}

void Accounts::capacity(Time now, double per_s) {
  fill(now);
  per_s_ = per_s;
  double all = 0;
  for (const Node& node : nodes_) all += node.parent == kNone ? asked(node) : 0;
  cut_ = all > per_s_ ? per_s_ / all : 1;
}

double Accounts::rate(std::size_t node) const { return asked(nodes_[node]) * cut_; }

double Accounts::certain(std::size_t node) const {
  return std::max(
      {rate(node), nodes_[node].floor * per_s_, rescue_ * per_s_ / static_cast<double>(nodes_.size())});
}

void Accounts::fill(Time now) {
  const double s = seconds_of(now - at_);
  if (s <= 0) return;
  at_ = now;
  for (Node& node : nodes_) {
    const double budget = asked(node) * cut_, most = budget * span_s_ * node.burst;
    if (node.budget_left < most) node.budget_left = std::min(most, node.budget_left + budget * s);
    const double floor = node.floor * per_s_, ceiling = node.ceiling * per_s_;
    node.floor_left = std::min(floor * kRunUp, node.floor_left + floor * s);
    node.ceiling_left = std::min(ceiling * kRunUp, node.ceiling_left + ceiling * s);
  }
}

void Accounts::charge_one(Node& node, double cost) {
  const double most_debt = std::max(asked(node) * cut_ * span_s_, 0.0);
  node.budget_left = std::max(node.budget_left - cost, -most_debt);
  node.floor_left = std::max(node.floor_left - cost, -node.floor * per_s_ * kRunUp);
  node.ceiling_left -= cost;
}

void Accounts::charge(Time now, std::size_t node, double cost) {
  fill(now);
  charge_one(nodes_[node], cost);
  if (nodes_[node].parent != kNone) charge_one(nodes_[nodes_[node].parent], cost);
}

Standing Accounts::standing(Time now, std::size_t node) {
  fill(now);
  const Node& n = nodes_[node];
  if (n.ceiling < 1 && n.ceiling_left <= 0) return Standing::barred;
  if (n.floor > 0 && n.floor_left > 0) return Standing::owed;
  return n.budget_left > 0 ? Standing::within : Standing::borrowing;
}

double Accounts::budget(Time now, std::size_t node) {
  fill(now);
  return nodes_[node].budget_left;
}

std::vector<Accounts::Balance> Accounts::balances(Time now) {
  fill(now);
  std::vector<Balance> out;
  for (const Node& n : nodes_) out.push_back({n.name, n.budget_left, n.floor_left, n.ceiling_left});
  return out;
}

void Accounts::restore(Time now, const std::vector<Balance>& balances) {
  fill(now);
  for (const Balance& b : balances) {
    for (Node& node : nodes_) {
      if (node.name != b.name) continue;
      const double budget = asked(node) * cut_ * span_s_;
      node.budget_left = std::clamp(b.budget, -budget, budget * node.burst);
      node.floor_left = std::min(b.floor, node.floor * per_s_ * kRunUp);
      node.ceiling_left = std::min(b.ceiling, node.ceiling * per_s_ * kRunUp);
    }
  }
}

}  // namespace yokestream::scheduler
