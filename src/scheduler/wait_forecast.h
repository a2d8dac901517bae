// Forecasts waits with a fluid model of the teams' queues.
//
// Each team is a fluid queue with an expected arrival rate and its current budget balance. The engines drain
// `throughput` in all. At each moment it is divided by budget status (below_floor, within_budget, borrowing)
// and by weight within one status; no team gets more than it has queued, and a budget that runs out changes
// the status. The model is advanced from event to event (a queue empties, a budget runs out, the requested
// work is done), for kMaxSteps events at most.
//
// Pure. Memory: the caller's.
#pragma once

#include <vector>

#include "scheduler/budget_accounts.h"

namespace yokestream::scheduler {

// Work and balances in engine-seconds, rates in engine-seconds per second.
struct FluidQueue {
  double work = 0;
  double arrival_rate = 0;
  double weight = 1;
  double budget_balance = 0;
  double budget_rate = 0;
  double floor_rate = 0;
  double ceiling_rate = 1e9;
};

// Seconds until `team` has drained `work_ahead`; at most `max_time`. Changes `queues`.
double drain_time(std::vector<FluidQueue>& queues, std::size_t team, double work_ahead, double throughput,
                  double max_time);

}  // namespace yokestream::scheduler
