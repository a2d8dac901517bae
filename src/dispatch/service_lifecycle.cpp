#include "dispatch/service_lifecycle.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// Clients still find this manager for a while after the shutdown notice. Requests that arrive in the accept
// period are served; there is no time left to serve later ones.
constexpr Duration kShutdownAcceptPeriod = milliseconds(700);
// Accepts clients in the listen backlog. New ones come for 0.4 s after the notice.
constexpr Duration kMinListenPeriod = milliseconds(500);
constexpr Duration kMaxListenPeriod = milliseconds(2400);
constexpr Duration kListenMarginBeforeDeadline = milliseconds(500);
// When the process may be killed, if that is not known.
constexpr Duration kDefaultMaxDuration = milliseconds(3700);
// All requests are answered this long before the process may be killed, or halfway if there is less time.
constexpr Duration kAnswerMarginBeforeKill = milliseconds(800);
// The process has exited this long before it may be killed.
constexpr Duration kExitMarginBeforeKill = milliseconds(200);
// With a successor: requests that arrive this shortly before the shutdown deadline are rejected.
constexpr Duration kRejectPeriodBeforeDeadline = milliseconds(300);
// From the acceptance of a connection until the dispatcher has its events.
constexpr Duration kAcceptDelayWithSuccessor = milliseconds(300);
constexpr Duration kAcceptDelayAlone = milliseconds(50);
// At 4 s after the start of draining no connection may carry a request of the last 2 s, so requests that
// arrive after this period are rejected. The margin covers the difference between the platform's clock and
// the dispatcher's, up to one iteration of the dispatcher.
constexpr Duration kDrainingServePeriod = milliseconds(1600);
constexpr Duration kMaxResumeDuration = milliseconds(1000);  // readiness is due 2 s after resume()

Duration listen_period(Duration until_deadline) {
  return std::clamp(until_deadline - kListenMarginBeforeDeadline, kMinListenPeriod, kMaxListenPeriod);
}

}  // namespace

void ServiceLifecycle::start_draining(Time now) {
  if (state_ == State::ready || state_ == State::resuming) enter(State::draining, now);
}

void ServiceLifecycle::resume(Time now) {
  if (state_ == State::draining || state_ == State::drained) enter(State::resuming, now);
}

void ServiceLifecycle::begin_shutdown(Time now, bool has_successor, Duration max_duration) {
  if (is_shutting_down()) {
    if (has_successor) listen_until_ = std::min(listen_until_, now);
    return;
  }
  enter(State::shutting_down, now);
  if (max_duration <= Duration{}) max_duration = kDefaultMaxDuration;
  const Duration until_deadline = std::max(max_duration - kAnswerMarginBeforeKill, max_duration / 2);
  shutdown_deadline_ = now + until_deadline;
  exit_deadline_ = now + std::max(max_duration - kExitMarginBeforeKill, until_deadline);
  listen_until_ = has_successor ? now : now + listen_period(until_deadline);
  accept_requests_until_ = has_successor ? shutdown_deadline_ - kRejectPeriodBeforeDeadline
                                         : now + std::min(kShutdownAcceptPeriod, until_deadline);
  may_exit_from_ = listen_until_ + (has_successor ? kAcceptDelayWithSuccessor : kAcceptDelayAlone);
  close_idle_from_ = has_successor ? now : accept_requests_until_;
}

void ServiceLifecycle::tick(Time now, bool any_connection_closing) {
  if (state_ == State::draining && now >= entered_at_ + kDrainingServePeriod) enter(State::drained, now);
  if (state_ == State::resuming && (!any_connection_closing || now >= entered_at_ + kMaxResumeDuration))
    enter(State::ready, now);
}

}  // namespace yokestream::dispatch
