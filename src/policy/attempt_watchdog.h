// Judges attempts that are in flight: whether the answer is lost, whether they take too long, whether they
// drew a bad plan, and for how long an engine may be silent.
//
// Decides nothing about engines and sends nothing: the controller cancels what is judged so, and the query is
// sent elsewhere where the rules allow it.
#pragma once

#include "congestion_tracker.h"
#include "query.h"
#include "retry_budget.h"

namespace yokestream::policy {

class AttemptWatchdog {
 public:
  // All must outlive this.
  AttemptWatchdog(const Settings& settings, const CongestionTracker& congestion, const RetryBudget& retries)
      : settings_(settings), congestion_(congestion), retries_(retries) {}

  // `engine_last_response`: when the engine gave its last sign of life.
  bool answer_lost(const Attempt& attempt, Time engine_last_response, Time now) const;
  bool timed_out(const Query& query, const Attempt& attempt, Time now) const;
  // Progress of `done` (share of the work, above 0) was told. True: the attempt has a bad plan; the query
  // remembers how long it would have taken.
  bool has_bad_plan(Query& query, const Attempt& attempt, double done, Time now) const;
  // From when on an engine that runs this attempt counts as silent if nothing comes of it.
  Time silence_begins(const Attempt& attempt) const;
  // How long an engine that runs something may be silent.
  Duration silence_limit() const;

 private:
  double usual_time_s(const Query& query, const Attempt& attempt) const;
  bool may_retry(const Query& query, Time now) const;
  bool tells_progress() const { return settings_.progress_interval > Duration{}; }

  const Settings& settings_;
  const CongestionTracker& congestion_;
  const RetryBudget& retries_;
};

}  // namespace yokestream::policy
