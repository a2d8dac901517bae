// Computes the priority (0 to 3) that engines are given for running queries.
//
//   priority = 0 for a demoted query, else clamp(requested + by_level + at_risk - borrowing, 0, 3)
//     requested  the priority that the decision module asks for
//     by_level   -1 for service level 0, +1 for service level 3
//     at_risk    1 if the expected rest of the run ends after the soft deadline
//     borrowing  1 if the query runs on borrowed budget while other requests wait: on after
//                kContentionOnDelay of waiting, off after kContentionOffDelay without
// A query is demoted, for the rest of the attempt, once it has run `demotion_factor` times its expected time:
// probably a bad plan. The expected time is a median, which bad plans hardly affect.
// The priority of a load is never lowered below the requested one: a load locks its tables, and everything
// that waits for them would wait longer. Nothing here cancels a query.
//
// Except for demotions, a priority changes at most once per kMinChangeInterval, so that it does not flap. A
// token bucket per engine limits the messages to `max_changes_per_s`; changes over that limit are delayed,
// and demotions are sent first.
//
// Pure. Memory: one record per running attempt and one per engine. Not thread-safe.
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
    unsigned requested = 1, level = 1;  // priority and service level
    bool borrowed = false, is_load = false;
    Duration expected_time{}, expected_time_p90{};  // run time: median and 90th percentile
    Time soft_deadline{};
  };
  struct Change {
    QueryId query{};
    unsigned priority = 1;
    bool demotes = false;  // the query's first message after its demotion
  };

  void configure(double demotion_factor, double max_changes_per_s);
  // Returns the priority that the attempt starts with.
  unsigned on_attempt_started(Time now, QueryId query, const Attempt& attempt);
  // The decision module requests a priority. Returns the new priority if the engine is to be notified now;
  // this counts towards the limit on messages.
  std::optional<unsigned> on_priority_requested(Time now, QueryId query, unsigned priority);
  void on_attempt_ended(QueryId query) { running_.erase(query); }
  void update_contention(Time now, bool requests_wait);
  std::optional<Change> next_change(Time now);  // the next change to send now, if any
  Time next_due() const { return running_.empty() ? Time::max() : scanned_at_ + kScanInterval; }

  std::size_t running() const { return running_.size(); }
  std::size_t demoted() const { return demoted_count_; }      // since the start
  std::uint64_t changes_sent() const { return sent_count_; }  // since the start

 private:
  struct Running {
    Attempt attempt;
    Time started_at{}, changed_at{};
    unsigned priority = 1;
    bool demoted = false, demotion_sent = false;
  };
  struct MessageBucket {
    double tokens = 0;
    Time refilled_at{};
  };
  unsigned target_priority(Time now, Running& running);
  bool take_message_token(Time now, const std::string& engine);

  double demotion_factor_ = 5, max_changes_per_s_ = 20;
  std::map<QueryId, Running> running_;
  std::map<std::string, MessageBucket> buckets_;  // by engine
  std::vector<Change> pending_changes_;           // found by the last scan, not sent yet
  Time scanned_at_{}, contended_since_ = Time::max(), uncontended_since_{};
  bool contended_ = false;
  std::size_t demoted_count_ = 0;
  std::uint64_t sent_count_ = 0;
};

}  // namespace yokestream::scheduler
