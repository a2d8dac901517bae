// Detects attempts in flight that should be cancelled: those whose answer is lost, that take too long or that
// run a bad query plan. Also defines how long an engine may be silent.
//
// It neither ejects engines nor sends anything. The controller cancels the attempts that it reports, and the
// query is sent again where the send rules allow it.
#pragma once

#include "congestion_tracker.h"
#include "query.h"
#include "retry_budget.h"

namespace yokestream::policy {

class AttemptWatchdog {
 public:
  // All arguments must outlive this object.
  AttemptWatchdog(const Settings& settings, const CongestionTracker& congestion, const RetryBudget& retries)
      : settings_(settings), congestion_(congestion), retries_(retries) {}

  // `engine_last_response`: when the engine last responded to anything.
  bool is_answer_lost(const Attempt& attempt, Time engine_last_response, Time now) const;
  bool has_timed_out(const Query& query, const Attempt& attempt, Time now) const;
  // Judges the attempt by its reported progress, `done` (completed fraction of the work, above 0). If the
  // plan is bad, also stores the projected duration in the query.
  bool has_bad_plan(Query& query, const Attempt& attempt, double done, Time now) const;
  // The time from which an engine that runs this attempt is expected to respond: its silence counts from
  // here.
  Time silence_start(const Attempt& attempt) const;
  // How long an engine with queries in flight may be silent before it is ejected.
  Duration max_silence() const;

 private:
  double usual_duration_s(const Query& query, const Attempt& attempt) const;
  bool may_retry(const Query& query, Time now) const;
  bool reports_progress() const { return settings_.progress_interval > Duration{}; }

  const Settings& settings_;
  const CongestionTracker& congestion_;
  const RetryBudget& retries_;
};

}  // namespace yokestream::policy
