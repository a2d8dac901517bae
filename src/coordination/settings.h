// Settings of the processes that share work through the store: `fleet` of the operator file, off without it.
#pragma once

#include <string>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/settings.h"

namespace yokestream::coordination {

using policy::Duration;
using policy::Time;

// Subtracted from the end of each lease: the core checks it once a turn, 200 ms apart at most.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(250);
inline Time with_lease_margin(Time until) {
  return until > Time::min() + kLeaseMargin ? until - kLeaseMargin : Time::min();
}

inline constexpr Duration kRetryPause = std::chrono::milliseconds(250);  // after a call that failed

struct Settings {
  bool enabled = false;
  // Of the JSON gateway; at least one where `enabled`.
  std::vector<config::Endpoint> store_endpoints;
  std::string key_prefix = "/yokestream";  // of all keys; one an installation
  // A process that does not renew its lease for so long has left.
  Duration lease_duration = std::chrono::seconds(6);
  double clock_drift = 0.01;  // ratio by which the rates of two clocks may differ
  // A leader without progress for so long is deposed.
  Duration progress_timeout = std::chrono::seconds(15);
  Duration inspection_interval = std::chrono::seconds(5);  // between the leader's inspections of the fleet
  Duration reconnect_spread = std::chrono::seconds(75);    // longest backoff after an outage of the store
  Duration call_timeout = std::chrono::milliseconds(900);  // of one call of the store

  // Areas (ids of table groups) that a task may migrate; no others are. They are closed while this process's
  // session is not held.
  std::vector<policy::TableGroupId> movable_areas;

  // For tests alone: guards that are left out, to show that the checker finds the fault each prevents.
  enum Guard : unsigned { kFencing = 1, kAcknowledged = 2, kLeaseExpiry = 4, kUnallocated = 8 };
  unsigned disabled_guards = 0;
  bool operator==(const Settings&) const = default;
};

}  // namespace yokestream::coordination
