#include "dispatch/service_lifecycle.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// Clients still find this manager for a while after the shutdown notice. Requests that arrive in the accept
// period are served; there is no time left to serve later ones. The process may be killed 3.7 s after the
// notice, so all requests are answered by kShutdownDuration.
constexpr Duration kShutdownAcceptPeriod = milliseconds(700);
constexpr Duration kShutdownListenPeriod = milliseconds(2400);  // accepts clients in the listen backlog
constexpr Duration kShutdownDuration = milliseconds(2900);
// With a successor: all requests are answered this long before the process may be killed.
constexpr Duration kAnswerMarginBeforeKill = milliseconds(800);
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
  shutdown_deadline_ = has_successor
                           ? now + std::max(max_duration - kAnswerMarginBeforeKill, kAnswerMarginBeforeKill)
                           : now + kShutdownDuration;
  listen_until_ = has_successor ? now : now + kShutdownListenPeriod;
  accept_requests_until_ =
      has_successor ? shutdown_deadline_ - kRejectPeriodBeforeDeadline : now + kShutdownAcceptPeriod;
  may_exit_from_ = listen_until_ + (has_successor ? kAcceptDelayWithSuccessor : kAcceptDelayAlone);
  close_idle_from_ = has_successor ? now : accept_requests_until_;
}

void ServiceLifecycle::tick(Time now, bool any_connection_closing) {
  if (state_ == State::draining && now >= entered_at_ + kDrainingServePeriod) enter(State::drained, now);
  if (state_ == State::resuming && (!any_connection_closing || now >= entered_at_ + kMaxResumeDuration))
    enter(State::ready, now);
}

}  // namespace yokestream::dispatch
