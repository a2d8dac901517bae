// What the controller keeps of a query and of its attempts. Plain records; the controller owns them.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "time_units.h"
#include "yokestream/policy/events.h"

namespace yokestream::policy {

struct Attempt {
  std::string engine;
  Time sent{};
  Time last_progress = Time::min();
  bool in_flight = true;
  bool cancelling = false;
  std::vector<double> running_mix;  // own queries by class on the engine as it was sent, itself included
  double unloaded_s = 0;            // time on an idle engine
  double estimate_s = 0;            // time predicted as it was sent
  double memory_grant_mb = 0;
  bool spilled = false;
  bool announced = false;               // to the peers
  bool waited_for_table_group = false;  // behind another query that holds its table group
};

struct Query {
  QueryArrived request;
  Time deadline{};
  Time objective{};   // a response by then has its full weight
  double work_s = 0;  // of all its threads, as one thread's time
  bool waited_for_capacity = false;
  bool over_quota = false;                          // beyond its tenant's quota as it arrived
  double projected_duration_s = kUnlimitedSeconds;  // of an attempt that was cancelled for a bad plan
  std::optional<Time> probed_at;                    // when engines were probed for it
  bool queued = false;
  bool finished = false;
  bool streaming = false;  // its response has begun
  std::vector<Attempt> attempts;
  std::optional<Time> may_run_since;  // first send that may have run
  std::string may_run_on;             // its engine
  std::size_t attempts_in_flight = 0;
  bool may_have_run = false;
};

}  // namespace yokestream::policy
