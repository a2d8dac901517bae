#include "dispatch/service_lifecycle.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

using std::chrono::milliseconds;

// After the word to leave clients still find this manager for a while, and it serves what comes; what comes
// later finds no time to be served. It may be killed 3.7 s on, so by then everybody has an answer.
constexpr Duration kLeaveAccepts = milliseconds(700);
constexpr Duration kLeaveListens = milliseconds(2400);  // so long, who waits to be accepted still is
constexpr Duration kLeaveEnds = milliseconds(2900);
constexpr Duration kBeforeKill =
    milliseconds(800);  // with a successor: all is answered so long before the kill
constexpr Duration kLastAccepted = milliseconds(300);  // from the socket to the core, beside a successor
constexpr Duration kLastHeard = milliseconds(50);      // the same where nobody else serves, and nobody comes
constexpr Duration kLastRefused = milliseconds(300);   // and what comes this long before that is refused
// Told to send clients away: at 4 s no connection may carry a request of the last 2 s, so what comes later
// than this is refused, and the platform's clocks may be a turn of the core apart.
constexpr Duration kDrainServes = milliseconds(1600);
constexpr Duration kReturnWithin = milliseconds(1000);  // yes is due again at 2 s

}  // namespace

void ServiceLifecycle::start_draining(Time now) {
  if (state_ == State::ready || state_ == State::returning) enter(State::draining, now);
}

void ServiceLifecycle::resume(Time now) {
  if (state_ == State::draining || state_ == State::drained) enter(State::returning, now);
}

void ServiceLifecycle::begin_shutdown(Time now, bool successor, Duration most) {
  if (is_shutting_down()) {
    if (successor) listen_until_ = std::min(listen_until_, now);
    return;
  }
  enter(State::shutting_down, now);
  end_by_ = successor ? now + std::max(most - kBeforeKill, kBeforeKill) : now + kLeaveEnds;
  listen_until_ = successor ? now : now + kLeaveListens;
  accept_until_ = successor ? end_by_ - kLastRefused : now + kLeaveAccepts;
  end_from_ = listen_until_ + (successor ? kLastAccepted : kLastHeard);
  close_from_ = successor ? now : accept_until_;
}

void ServiceLifecycle::tick(Time now, bool closing) {
  if (state_ == State::draining && now >= since_ + kDrainServes) enter(State::drained, now);
  if (state_ == State::returning && (!closing || now >= since_ + kReturnWithin)) enter(State::ready, now);
}

}  // namespace yokestream::dispatch
