// Settings of coordination through the store: section `fleet` of the operator file; disabled without it.
#pragma once

#include <string>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/settings.h"

namespace yokestream::coordination {

using policy::Duration;
using policy::Time;

// Subtracted from the end of each lease, as the dispatcher's loop checks for expiry at most 200 ms apart.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(250);
inline Time with_lease_margin(Time until) {
  return until > Time::min() + kLeaseMargin ? until - kLeaseMargin : Time::min();
}

inline constexpr Duration kRetryPause = std::chrono::milliseconds(250);  // after a failed call

struct Settings {
  bool enabled = false;
  // Endpoints of the store's JSON gateway; at least one if `enabled`.
  std::vector<config::Endpoint> store_endpoints;
  std::string key_prefix = "/yokestream";  // of all keys; different for each installation
  // A process that has not renewed its lease for this long is considered gone.
  Duration lease_duration = std::chrono::seconds(6);
  double clock_drift = 0.01;  // largest relative difference between the rates of two clocks
  // A leader that makes no progress for this long is removed.
  Duration progress_timeout = std::chrono::seconds(15);
  Duration inspection_interval = std::chrono::seconds(5);  // between the leader's inspections of the fleet
  Duration reconnect_spread = std::chrono::seconds(75);    // longest backoff after a store outage
  Duration call_timeout = std::chrono::milliseconds(900);  // of one call to the store

  // Table groups (`areas` in the operator file) that may be migrated. They are closed to requests while this
  // process holds no session.
  std::vector<policy::TableGroupId> movable_areas;

  // For tests only: guards to disable, to show that the checker finds the violation that each one prevents.
  enum Guard : unsigned {
    kFencing = 1,       // writes compare the fencing token and the revisions that were read
    kAcknowledged = 2,  // the next table waits for acknowledgements
    kLeaseExpiry = 4,   // a granted share ends with the lease
    kUnallocated = 8    // shares grow only by what is unallocated
  };
  unsigned disabled_guards = 0;
  bool operator==(const Settings&) const = default;
};

}  // namespace yokestream::coordination
