#include "dispatch/service_lifecycle.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// After the shutdown notice clients still find this manager for a while, and it serves what comes; what comes
// later has no time to be served. It may be killed 3.7 s after the notice, so by then everybody has an
// answer.
constexpr Duration kShutdownAcceptsRequests = milliseconds(700);
constexpr Duration kShutdownListens = milliseconds(2400);  // clients in the backlog are still accepted
constexpr Duration kShutdownDeadline = milliseconds(2900);
constexpr Duration kMarginBeforeKill = milliseconds(800);  // with a successor: all is answered by then
// From the acceptance of a connection until the core has its events: beside a successor, and alone.
constexpr Duration kAcceptDelayWithSuccessor = milliseconds(300);
constexpr Duration kAcceptDelayAlone = milliseconds(50);
constexpr Duration kRejectBeforeDeadline =
    milliseconds(300);  // with a successor: what comes then is rejected
// Draining: at 4 s no connection may carry a request of the last 2 s, so what comes later than this is
// rejected; the platform's clock may differ by a turn of the core.
constexpr Duration kDrainingServes = milliseconds(1600);
constexpr Duration kMaxReturn = milliseconds(1000);  // readiness is due again at 2 s

}  // namespace

void ServiceLifecycle::start_draining(Time now) {
  if (state_ == State::ready || state_ == State::returning) enter(State::draining, now);
}

void ServiceLifecycle::resume(Time now) {
  if (state_ == State::draining || state_ == State::drained) enter(State::returning, now);
}

void ServiceLifecycle::begin_shutdown(Time now, bool has_successor, Duration max_duration) {
  if (is_shutting_down()) {
    if (has_successor) listen_until_ = std::min(listen_until_, now);
    return;
  }
  enter(State::shutting_down, now);
  shutdown_deadline_ = has_successor ? now + std::max(max_duration - kMarginBeforeKill, kMarginBeforeKill)
                                     : now + kShutdownDeadline;
  listen_until_ = has_successor ? now : now + kShutdownListens;
  accept_requests_until_ =
      has_successor ? shutdown_deadline_ - kRejectBeforeDeadline : now + kShutdownAcceptsRequests;
  may_exit_from_ = listen_until_ + (has_successor ? kAcceptDelayWithSuccessor : kAcceptDelayAlone);
  close_idle_from_ = has_successor ? now : accept_requests_until_;
}

void ServiceLifecycle::tick(Time now, bool closing) {
  if (state_ == State::draining && now >= entered_at_ + kDrainingServes) enter(State::drained, now);
  if (state_ == State::returning && (!closing || now >= entered_at_ + kMaxReturn)) enter(State::ready, now);
}

}  // namespace yokestream::dispatch
