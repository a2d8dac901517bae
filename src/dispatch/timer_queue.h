// The timers of the dispatcher: what is to happen at which time. TimerQueue owns them; timers of equal time
// fire in the order in which they were scheduled. One thread.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <variant>

#include "dispatch/ports.h"

namespace yokestream::dispatch {

struct PolicyTimer {  // one that the decision module asked for
  std::uint64_t token = 0;
};
struct ResponseDeadline {  // an attempt that still runs is given up, so that the client is answered in time
  policy::QueryId query{};
};
struct DeadlineWatchdog {  // past the deadline: fails a request that nothing else has answered
  policy::QueryId query{};
};
struct AttemptTimer {  // the attempt's timeout, or the end of the wait for a confirmed cancellation
  policy::QueryId query{};
  AttemptTag tag = 0;
  policy::Outcome outcome{};
  Time scheduled_at{};
};
struct ReconnectTimer {  // no connection could be had for this attempt
  policy::QueryId query{};
  AttemptTag tag = 0;
};
struct MaintenanceTimer {};  // periodic housekeeping
struct IdleSessionTimer {};  // idle client sessions are closed now
struct StageTimer {};        // a request that waits in an admission stage may have to move
struct ShutdownDeadline {};  // every open request is answered now
struct RouteLeaseExpiry {};  // the lease on the routes is over, unless it was renewed
using Timer =
    std::variant<PolicyTimer, ResponseDeadline, DeadlineWatchdog, AttemptTimer, ReconnectTimer,
                 MaintenanceTimer, IdleSessionTimer, StageTimer, ShutdownDeadline, RouteLeaseExpiry>;

class TimerQueue {
 public:
  using Entries = std::multimap<Time, Timer>;
  using Handle = Entries::iterator;

  Handle schedule(Time due, Timer timer) { return timers_.emplace(due, std::move(timer)); }
  // Removes the timer, if there is one, and resets the handle to none().
  void cancel(Handle& handle) {
    if (is_scheduled(handle)) timers_.erase(handle);
    handle = none();
  }
  Handle none() { return timers_.end(); }
  bool is_scheduled(const Handle& handle) const { return handle != timers_.end(); }
  // Time::max(): no timer is scheduled.
  Time next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first; }
  // The earliest timer that is due at `now`, removed; handles to it are invalid from then on.
  std::optional<Timer> pop_due(Time now) {
    if (next_due() > now || timers_.empty()) return std::nullopt;
    return std::move(timers_.extract(timers_.begin()).mapped());
  }

 private:
  Entries timers_;
};

}  // namespace yokestream::dispatch
