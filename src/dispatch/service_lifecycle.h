// Whether this process serves clients, and how it lets them go: a graceful shutdown, draining by the
// operators, and the way back. Owns these states; everything else asks.
//
//   state          start_draining  resume     begin_shutdown  in time
//   ready          draining        -          shutting_down   -
//   draining       -               returning  shutting_down   drained, after kDrainingServes
//   drained        -               returning  shutting_down   -
//   returning      draining        -          shutting_down   ready, once nothing is being closed or after
//                                                             kMaxReturn
//   shutting_down  -               -          -               -
//
//                  ready  accepts connections  accepts requests           closes idle connections
//   ready          yes    yes                  yes                        no
//   draining       no     yes                  yes                        yes
//   drained        no     yes                  no: rejected at once       yes
//   returning      no     yes                  yes                        no
//   shutting_down  no     until listen_until_  until                      from close_idle_from_ on
//                                              accept_requests_until_
//
// Pure: every call has a time, which never runs backwards. One thread.
#pragma once

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ServiceLifecycle {
 public:
  enum class State { ready, draining, drained, returning, shutting_down };

  void start_draining(Time now);
  void resume(Time now);
  // A planned restart. Repeated, it only takes in a successor that came late. With a successor, which shares
  // the listener, no connection is accepted any more, and what comes on open ones is served for as long as
  // `max_duration` allows: the time after which the process may be killed.
  void begin_shutdown(Time now, bool has_successor, Duration max_duration);
  void tick(Time now, bool closing);  // `closing`: whether some connection is being closed

  State state() const { return state_; }
  bool is_shutting_down() const { return state_ == State::shutting_down; }
  bool is_ready() const { return state_ == State::ready; }
  bool accepts_connections(Time now) const { return now < listen_until_; }
  bool accepts_requests(Time now) const { return state_ != State::drained && now < accept_requests_until_; }
  bool closes_idle_connections(Time now) const {
    return state_ == State::draining || state_ == State::drained || now >= close_idle_from_;
  }
  // Shutting down: the core has the events of what was accepted last, so nothing unknown to it is owed.
  bool may_exit(Time now) const { return now >= may_exit_from_; }
  // Nothing is open from then on; Time::max(): not shutting down.
  Time shutdown_deadline() const { return shutdown_deadline_; }

 private:
  void enter(State state, Time now) {
    state_ = state;
    entered_at_ = now;
  }

  State state_ = State::ready;
  Time entered_at_{};
  Time listen_until_ = Time::max();
  Time accept_requests_until_ = Time::max();
  Time close_idle_from_ = Time::max();
  Time shutdown_deadline_ = Time::max();
  Time may_exit_from_ = Time::max();
};

}  // namespace yokestream::dispatch
