// How much work may be in: a bound on the threads of all requests that are past the door and not over, learnt
// from what the engines finish and how long they take for it.
//
// The bound is cut when answers take far longer than the best of their class and widened when they are near
// it and somebody waits (additive in both directions would be too slow: engines die together). It never falls
// under a floor per core, so that a slowdown with a cause outside the engines, which no bound can cure, does
// not starve them; and never rises over a ceiling per core. Pure: told events with times; memory: one record
// a class.
#pragma once

#include <cstddef>
#include <vector>

#include "throttle/outcome.h"
#include "throttle/settings.h"

namespace yokestream::throttle {

class Capacity {
 public:
  Capacity(std::size_t classes, double threads_per_core);

  // Cores of the engines that are up, this manager's part of them. 0: not known.
  void cores(double cores);
  // A request is over. `stretch`: time taken over its unloaded time, 0 where it was not served; `cost` in
  // seconds of one core; `waiting`: does anybody wait at the door?
  void finished(Time now, std::size_t cls, double stretch, double cost, bool waiting);
  // Either of the next two, by the outcome of a request that was taken to cost `taken`.
  void over(Time now, std::size_t cls, double threads, double taken, const Outcome& outcome, bool waiting);
  // The module turned away what the door let in: more was in than the engines can take.
  void refused(Time now, double cost, bool waiting);
  void tick(Time now, bool waiting);  // closes windows though nothing finishes

  double bound() const { return bound_; }      // threads
  double drain_rate() const { return rate_; }  // seconds of one core's work that engines finish, a second
  double stretch() const;                      // recent time taken over the best; 1: at best

 private:
  struct Class {
    double best = 0;  // logarithm, followed upwards slowly
    bool seen = false;
  };
  void close_window(Time now, bool waiting);

  const double first_;
  double cores_ = 1, bound_, rate_;
  bool rate_learnt_ = false;
  std::vector<Class> classes_;
  double over_ =
      0;  // smoothed logarithm of stretch over best, by cost: short queries pass a crowd by priority
  Time window_{}, cut_{};
  double window_cost_ = 0, window_over_ = 0, window_weight_ = 0;
  int window_count_ = 0;
};

}  // namespace yokestream::throttle
