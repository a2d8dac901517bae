// The timers of the dispatcher. TimerQueue owns them; timers with the same due time fire in the order in
// which they were scheduled. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

struct PolicyTimer {  // requested by the decision module
  std::uint64_t token = 0;
};
struct ResponseDeadline {  // abandons an attempt that still runs, so that the client is answered in time
  policy::QueryId query{};
};
struct DeadlineWatchdog {  // fails a request that is still unanswered after its deadline
  policy::QueryId query{};
};
struct AttemptTimer {  // the attempt's timeout, its write deadline, or the timeout of its cancel confirmation
  policy::QueryId query{};
  AttemptTag tag = 0;
  policy::Outcome outcome{};
  Time scheduled_at{};
};
struct ReconnectTimer {  // retries to get a connection for this attempt
  policy::QueryId query{};
  AttemptTag tag = 0;
};
struct MaintenanceTimer {};  // periodic housekeeping
struct IdleSessionTimer {};  // closes idle client sessions
struct StageTimer {};        // a request that is queued in an admission stage may have to move
struct ShutdownDeadline {};  // answers every open request
struct RouteLeaseExpiry {};  // the lease on the routes expires, unless it was renewed
using Timer =
    std::variant<PolicyTimer, ResponseDeadline, DeadlineWatchdog, AttemptTimer, ReconnectTimer,
                 MaintenanceTimer, IdleSessionTimer, StageTimer, ShutdownDeadline, RouteLeaseExpiry>;

class TimerQueue {
 public:
  using Entries = std::multimap<Time, Timer>;
  using Handle = Entries::iterator;

  Handle schedule(Time due, Timer timer) { return timers_.emplace(due, std::move(timer)); }
  // Removes the timer if it is scheduled, and resets the handle to none().
  void cancel(Handle& handle) {
    if (is_scheduled(handle)) timers_.erase(handle);
    handle = none();
  }
  Handle none() { return timers_.end(); }
  bool is_scheduled(const Handle& handle) const { return handle != timers_.end(); }
  // Time::max() if no timer is scheduled.
  Time next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first; }
  // Removes and returns the earliest timer that is due at `now`. Invalidates handles to it.
  std::optional<Timer> pop_due(Time now) {
    if (next_due() > now || timers_.empty()) return std::nullopt;
    return std::move(timers_.extract(timers_.begin()).mapped());
  }

 private:
  Entries timers_;
};

}  // namespace yokestream::dispatch
