// Whether this process takes clients, and how it lets them go: a planned restart, a drain by the operators,
// and the way back. The one home of these states; everything else asks.
//
//   state      evacuate    activate     leave     in time
//   ready      draining    -            leaving   -
//   draining   -           returning    leaving   drained, at kDrainServes
//   drained    -           returning    leaving   -
//   returning  draining    -            leaving   ready, once nothing is being closed or at kReturnWithin
//   leaving    -           -            -         -
//
//              says yes    accepts     takes requests             closes idle connections
//   ready      yes         yes         yes                        no
//   draining   no          yes         yes                        yes
//   drained    no          yes         no: refused at once        yes
//   returning  no          yes         yes                        no
//   leaving    no          until listen_until, until accept_until, from close_from on
//
// Pure: told events with a time, which never runs backwards. One thread at a time.
#pragma once

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ServiceLifecycle {
 public:
  enum class State { ready, draining, drained, returning, shutting_down };

  void start_draining(Time now);
  void resume(Time now);
  // A planned restart. Told again, it only hears of a successor that came late. With a successor, which
  // shares the listener, nothing more is accepted here, and what comes on open connections is served for as
  // long as `most` allows: the time after which the process may be killed.
  void begin_shutdown(Time now, bool successor, Duration most);
  void tick(Time now, bool closing);  // closing: some connection is being closed

  State state() const { return state_; }
  bool is_shutting_down() const { return state_ == State::shutting_down; }
  bool is_ready() const { return state_ == State::ready; }
  bool accepts_connections(Time now) const { return now < listen_until_; }
  bool accepts_requests(Time now) const { return state_ != State::drained && now < accept_until_; }
  bool closes_idle_connections(Time now) const {
    return state_ == State::draining || state_ == State::drained || now >= close_from_;
  }
  // Leaving: what was accepted last has been heard of by now, so that nothing is owed that nobody knows.
  bool may_exit(Time now) const { return now >= end_from_; }
  Time shutdown_deadline() const {
    return end_by_;
  }  // leaving: nothing is open from then on; else Time::max()

 private:
  void enter(State state, Time now) { state_ = state, since_ = now; }

  State state_ = State::ready;
  Time since_{};
  Time listen_until_ = Time::max(), accept_until_ = Time::max(), close_from_ = Time::max();
  Time end_by_ = Time::max(), end_from_ = Time::max();
};

}  // namespace yokestream::dispatch
