// How the processes of a fleet share work through the store; of the operator file (`fleet`), off without it.
#pragma once

#include <string>
#include <vector>

#include "config/members.h"
#include "yokestream/policy/settings.h"

namespace yokestream::coordination {

using policy::Duration;
using policy::Time;

// What a process may count on until some time, it counts on for so much less: its core looks at each turn,
// 200 ms apart at most.
inline constexpr Duration kLeaseMargin = std::chrono::milliseconds(250);
inline Time with_lease_margin(Time until) {
  return until > Time::min() + kLeaseMargin ? until - kLeaseMargin : Time::min();
}

inline constexpr Duration kRetryPause = std::chrono::milliseconds(250);  // after a call that brought nothing

struct Settings {
  bool on = false;
  std::vector<config::Endpoint>
      store_endpoints;                     // addresses of its JSON gateway; one at least where it is on
  std::string key_prefix = "/yokestream";  // all keys begin so; one an installation
  Duration lease_duration = std::chrono::seconds(6);  // a process that is not heard of for so long is gone
  double clock_drift = 0.01;                          // by which the rates of two clocks may differ
  Duration progress_timeout =
      std::chrono::seconds(15);  // an owner that does nothing for so long loses its duty
  Duration inspection_interval = std::chrono::seconds(5);  // how often the owner looks at the fleet
  Duration reconnect_spread = std::chrono::seconds(75);  // over which all come back to a store that was away
  Duration call_timeout = std::chrono::milliseconds(900);  // a call of the store takes no longer

  // Areas that a duty may touch (the number that names a table group); none else is ever touched. They are
  // closed where this process's session is not held.
  std::vector<policy::TableGroupId> movable_areas;

  // For tests alone: guards that are left out, so that the checker is seen to find what they guard against.
  enum Guard : unsigned { kTerm = 1, kAcknowledged = 2, kExpiry = 4, kFree = 8 };
  unsigned disabled_guards = 0;
  bool operator==(const Settings&) const = default;
};

}  // namespace yokestream::coordination
