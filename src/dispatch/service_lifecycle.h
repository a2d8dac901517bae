// The service state of this process: ready, draining and its reversal (by the operators), and graceful
// shutdown. Determines whether connections and requests are accepted and when idle connections are closed.
//
//   state          start_draining  resume     begin_shutdown  tick
//   ready          draining        -          shutting_down   -
//   draining       -               resuming   shutting_down   drained, after kDrainingServePeriod
//   drained        -               resuming   shutting_down   -
//   resuming       draining        -          shutting_down   ready, once no connection is being closed or
//                                                             after kMaxResumeDuration
//   shutting_down  -               -          -               -
//
//                  ready  accepts connections  accepts requests           closes idle connections
//   ready          yes    yes                  yes                        no
//   draining       no     yes                  yes                        yes
//   drained        no     yes                  no: rejected immediately   yes
//   resuming       no     yes                  yes                        no
//   shutting_down  no     until listen_until_  until                      from close_idle_from_ on
//                                              accept_requests_until_
//
// Pure: callers pass the time, which must be monotonic. Not thread-safe.
#pragma once

#include "dispatch/ports.h"

namespace yokestream::dispatch {

class ServiceLifecycle {
 public:
  enum class State { ready, draining, drained, resuming, shutting_down };

  void start_draining(Time now);
  void resume(Time now);
  // Starts a planned restart. A repeated call only takes a successor into account that became ready later.
  // The process may be killed after `max_duration`; 0: not known. With a successor, which shares the
  // listener, no further connection is accepted, and requests on open connections are served for as long as
  // `max_duration` allows.
  //
  // Failure: a shutdown takes a fixed time, and the deployment's deadlines are shorter. Symptom: the process
  // is killed while clients have requests open. Guard: all times of the shutdown follow from `max_duration`.
  void begin_shutdown(Time now, bool has_successor, Duration max_duration);
  void tick(Time now, bool any_connection_closing);

  State state() const { return state_; }
  bool is_shutting_down() const { return state_ == State::shutting_down; }
  bool is_ready() const { return state_ == State::ready; }
  bool accepts_connections(Time now) const { return now < listen_until_; }
  bool accepts_requests(Time now) const { return state_ != State::drained && now < accept_requests_until_; }
  bool closes_idle_connections(Time now) const {
    return state_ == State::draining || state_ == State::drained || now >= close_idle_from_;
  }
  // In a shutdown: by now the dispatcher has received the events of the connections accepted last, so no
  // client that it doesn't know of is owed an answer.
  bool may_exit(Time now) const { return now >= may_exit_from_; }
  // All open requests are answered at this time; Time::max() if not shutting down.
  Time shutdown_deadline() const { return shutdown_deadline_; }
  // The process must have exited at this time; Time::max() if not shutting down.
  Time exit_deadline() const { return exit_deadline_; }

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
  Time exit_deadline_ = Time::max();
  Time may_exit_from_ = Time::max();
};

}  // namespace yokestream::dispatch
