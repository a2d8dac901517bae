// How long what is ahead will take: the queues as a fluid.
//
// Each team is a tank of work that waits, with an inflow (what is expected to arrive) and accounts as they
// stand. The engines drain `per_s` in all; each moment it goes to teams by standing (owed, within, borrowing)
// and by weight among equals, no team gets more than it has, and a budget that runs out changes the standing.
// The answer is when the asked team will have drained `ahead`. Walked from event to event (a tank empties, a
// budget ends, the asked work is done), at most kSteps of them.
//
// Pure function; memory: the caller's.
#pragma once

#include <vector>

#include "scheduler/accounts.h"

namespace yokestream::scheduler {

struct Tank {
  double work = 0;    // that waits, engine-seconds
  double inflow = 0;  // engine-seconds a second
  double weight = 1;
  double budget = 0;     // balance
  double fills = 0;      // the budget's rate
  double floor = 0;      // engine-seconds a second
  double ceiling = 1e9;  // the same
};

// Seconds until `team` has drained `ahead`; at most `most`.
double drained_after(std::vector<Tank>& tanks, std::size_t team, double ahead, double per_s, double most);

}  // namespace yokestream::scheduler
