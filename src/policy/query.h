// The controller's records of a query and of its attempts.
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
  // By class: own queries on the engine at the time of the send, including this one.
  std::vector<double> running_mix;
  double unloaded_s = 0;  // predicted time on an idle engine
  double estimate_s = 0;  // predicted time at the send
  double memory_grant_mb = 0;
  bool spilled = false;
  bool announced = false;               // to the peers
  bool waited_for_table_group = false;  // its table group was locked by another query
};

struct Query {
  QueryArrived request;
  Time deadline{};
  Time objective{};   // a response by this time earns the full weight
  double work_s = 0;  // time on a single thread
  bool waited_for_capacity = false;
  bool over_quota = false;                          // exceeded its tenant's quota on arrival
  double projected_duration_s = kUnlimitedSeconds;  // of an attempt cancelled because of a bad plan
  std::optional<Time> probed_at;                    // when engines were last probed for it
  bool queued = false;
  bool finished = false;
  bool streaming = false;  // its response has started
  std::vector<Attempt> attempts;
  std::optional<Time> may_run_since;  // time of the first send that may have run
  std::string may_run_on;             // engine of that send
  std::size_t attempts_in_flight = 0;
  bool may_have_run = false;
};

}  // namespace yokestream::policy
