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

class EnginePriorities {
 public:
  static constexpr Duration kMinChangeInterval = std::chrono::milliseconds(1000),
                            kScanInterval = std::chrono::milliseconds(100),
                            kContentionOnDelay = std::chrono::milliseconds(300),
                            kContentionOffDelay = std::chrono::milliseconds(2000);
  struct Attempt {
    std::string engine;
    unsigned requested = 1, level = 1;
    bool borrowed = false, is_load = false;
    Duration expected_time{}, expected_time_p90{};  // that it takes: median, and nine in ten
    Time soft_deadline{};
  };
  struct Change {
    QueryId query{};
    unsigned priority = 1;
    bool demotes = false;  // with this change
  };

  void configure(double demotion_factor, double max_changes_per_s);
  unsigned on_attempt_started(Time now, QueryId query, const Attempt& attempt);  // the band it starts with
  // The module's wish. The new band, where it is to be told at once; it counts as a message.
  std::optional<unsigned> on_priority_requested(Time now, QueryId query, unsigned requested);
  void on_attempt_ended(QueryId query) { running_.erase(query); }
  void update_contention(Time now, bool requests_wait);
  std::optional<Change> next_change(Time now);  // what is to be told now; nullopt: nothing
  Time next_due() const { return running_.empty() ? Time::max() : scanned_at_ + kScanInterval; }

  std::size_t running() const { return running_.size(); }
  std::size_t demoted() const { return demoted_count_; }  // so far
  std::uint64_t changes_sent() const { return sent_count_; }

 private:
  struct Running {
    Attempt attempt;
    Time started_at{}, changed_at{};
    unsigned priority = 1;
    bool demoted = false, demotion_sent = false;  // found to; told to
  };
  struct MessageBucket {
    double tokens = 0;
    Time refilled_at{};
  };
  unsigned target_priority(Time now, Running& r);
  bool take_message_token(Time now, const std::string& engine);

  double demotion_factor_ = 5, max_changes_per_s_ = 20;
  std::map<QueryId, Running> running_;
  std::map<std::string, MessageBucket> buckets_;
  std::vector<Change> pending_changes_;  // found by the last look, not told yet
  Time scanned_at_{}, contended_since_ = Time::max(), uncontended_since_{};
  bool contended_ = false;
  std::size_t demoted_count_ = 0;
  std::uint64_t sent_count_ = 0;
};

}  // namespace yokestream::scheduler
