// The one place that computes the priority that engines are told (0 to 3) of what runs.
//
//   band = 0 where it has sunk, else clamp(the module's wish + by level + near + borrowed, 0, 3)
//     by level   -1 for level 0, +1 for level 3
//     near       +1 when its usual rest would end after its wanted time
//     borrowed   -1 while it runs on borrowed budget and others wait (on after kPressureOn of waiting, off
//                after kPressureOff of none)
//     sunk       it has run `sink` times its usual time: a bad plan. For good, for this attempt. The usual
//     time
//                is a median, which bad plans move little.
// A load is never lowered under the module's wish: it holds its tables, and all that wait for them would wait
// longer. Nothing here cancels anything.
//
// Hysteresis: a band changes at most once in kDwell, sinking excepted. A bound on messages: `nice_per_s` a
// second and engine (a bucket of a second's worth); what is over waits, the sinking ones first.
//
// Pure; memory: one record a running attempt and one an engine. Told events with times; one thread.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "scheduler/settings.h"

namespace yokestream::scheduler {

class Bands {
 public:
  static constexpr Duration kDwell = std::chrono::milliseconds(1000), kLook = std::chrono::milliseconds(100),
                            kPressureOn = std::chrono::milliseconds(300),
                            kPressureOff = std::chrono::milliseconds(2000);
  struct Start {
    std::string engine;
    unsigned wish = 1, level = 1;
    bool borrowed = false, load = false;
    Duration usual{}, usual_most{};  // that it takes: median, and nine in ten
    Time wanted{};
  };
  struct Change {
    QueryId query{};
    unsigned band = 1;
    bool sinks = false;  // with this change
  };

  void configure(double sink, double nice_per_s);
  unsigned start(Time now, QueryId query, const Start& start);  // the band it starts with
  // The module's wish. The new band, where it is to be told at once; it counts as a message.
  std::optional<unsigned> wish(Time now, QueryId query, unsigned wish);
  void end(QueryId query) { running_.erase(query); }
  void waiting(Time now, bool somebody);
  std::optional<Change> next(Time now);  // what is to be told now; nullopt: nothing
  Time next_due() const { return running_.empty() ? Time::max() : looked_ + kLook; }

  std::size_t running() const { return running_.size(); }
  std::size_t sunk() const { return sunk_; }  // so far
  std::uint64_t told() const { return told_; }

 private:
  struct Running {
    Start told;
    Time since{}, changed{};
    unsigned band = 1;
    bool sunk = false, sank = false;  // found to; told to
  };
  struct Engine {
    double left = 0;
    Time at{};
  };
  unsigned target(Time now, Running& r);
  bool may_tell(Time now, const std::string& engine);

  double sink_ = 5, nice_per_s_ = 20;
  std::map<QueryId, Running> running_;
  std::map<std::string, Engine> engines_;
  std::vector<Change> changes_;  // found by the last look, not told yet
  Time looked_{}, waiting_since_ = Time::max(), calm_since_{};
  bool pressure_ = false;
  std::size_t sunk_ = 0;
  std::uint64_t told_ = 0;
};

}  // namespace yokestream::scheduler
