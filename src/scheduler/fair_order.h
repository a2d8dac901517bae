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

#include "scheduler/accounts.h"
#include "scheduler/waiting.h"

namespace yokestream::scheduler {

class FairOrder {
 public:
  void teams(Time now, std::size_t count);
  void capacity(Time now, double rescue_per_s);

  struct Next {
    std::size_t team = kNone;
    bool overdue = false;  // it goes for being overdue
  };
  // The team whose head goes next, kNone: none may. `may(team)`: is there room for it?
  template <class May>
  Next next(Time now, const Waiting& waiting, Accounts& accounts, Duration age, May may) {
    fill(now);
    candidates_.clear();
    for (std::size_t team = 0; team < tags_.size(); ++team) {
      const auto head = waiting.head(team);
      if (!head || !may(team)) continue;
      Candidate c{team, accounts.parent(team), accounts.standing(now, team), waiting.at(*head).due};
      if (c.parent != kNone) c.group = accounts.standing(now, c.parent);
      if (c.standing == Standing::barred || c.group == Standing::barred) continue;
      candidates_.push_back(c);
    }
    return choose(now, age);
  }
  void went(Time now, Next next, double cost, const Accounts& accounts);
  void correct(std::size_t team, double by, const Accounts& accounts);

 private:
  struct Candidate {
    std::size_t team = 0, parent = kNone;
    Standing standing{};
    Time due{};
    Standing group = Standing::within;
  };
  struct Tag {
    double tag = 0;
    Time rescued{};
  };
  Next choose(Time now, Duration age);
  void fill(Time now);

  std::vector<Tag> tags_;
  std::vector<Candidate> candidates_;  // kept for its memory
  double reached_ = 0, rescue_per_s_ = 0, rescue_left_ = 0;
  Time at_{};
};

}  // namespace yokestream::scheduler
