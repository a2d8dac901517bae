#include "scheduler/fair_order.h"

#include <algorithm>
#include <tuple>

namespace yokestream::scheduler {

void FairOrder::teams(Time now, std::size_t count) {
  tags_.assign(count, Tag{reached_, now});
  candidates_.reserve(count);
  at_ = now;
}

void FairOrder::capacity(Time now, double rescue_per_s) {
  fill(now);
  rescue_per_s_ = rescue_per_s;
}

void FairOrder::fill(Time now) {
  const double s = std::chrono::duration<double>(now - at_).count();
  if (s <= 0) return;
  at_ = now;
  rescue_left_ = std::min(rescue_per_s_, rescue_left_ + rescue_per_s_ * s);
}

FairOrder::Next FairOrder::choose(Time now, Duration age) {
  const Candidate* best = nullptr;
  if (rescue_left_ > 0) {
    for (const Candidate& c : candidates_) {
      if (now - c.due <= age) continue;
      if (!best || std::tie(tags_[c.team].rescued, c.due) < std::tie(tags_[best->team].rescued, best->due))
        best = &c;
    }
    if (best) return {best->team, true};
  }
  // A team in a group stands for it: by the group's standing and tag first, then by its own.
  const auto rank = [this](const Candidate& c) {
    const bool in_group = c.parent != kNone;
    return std::tuple(in_group ? c.group : c.standing, tags_[in_group ? c.parent : c.team].tag,
                      in_group ? c.parent : c.team, c.standing, tags_[c.team].tag, c.team);
  };
  for (const Candidate& c : candidates_) {
    if (!best || rank(c) < rank(*best)) best = &c;
  }
  return best ? Next{best->team, false} : Next{};
}

void FairOrder::went(Time now, Next next, double cost, const Accounts& accounts) {
  fill(now);
  const std::size_t team = next.team;
  Tag& own = tags_[team];
  const std::size_t top = accounts.parent(team) == kNone ? team : accounts.parent(team);
  if (next.overdue) rescue_left_ -= cost, own.rescued = now;
  // Who was empty starts at the time that has been reached, so nobody saves up.
  tags_[top].tag = std::max(tags_[top].tag, reached_);
  reached_ = std::max(reached_, tags_[top].tag);
  tags_[top].tag += cost / accounts.weight(top);
  if (top == team) return;
  double least = 0;  // the group's own time: what its other teams have reached
  bool first = true;
  for (std::size_t i = 0; i < tags_.size(); ++i) {
    if (accounts.parent(i) != top || i == team) continue;
    least = first ? tags_[i].tag : std::min(least, tags_[i].tag), first = false;
  }
  own.tag = std::max(own.tag, first ? own.tag : std::min(least, own.tag + 1)) + cost / accounts.weight(team);
}

void FairOrder::correct(std::size_t team, double by, const Accounts& accounts) {
  const std::size_t top = accounts.parent(team) == kNone ? team : accounts.parent(team);
  tags_[top].tag += by / accounts.weight(top);
  if (top != team) tags_[team].tag += by / accounts.weight(team);
}

}  // namespace yokestream::scheduler
