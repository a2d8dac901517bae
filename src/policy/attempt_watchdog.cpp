#include "attempt_watchdog.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

// Progress intervals without progress of an attempt after which its answer counts as lost.
constexpr double kLostAnswerProgressIntervals = 2.6;
// Progress intervals without any response of an engine after which it counts as silent.
constexpr double kSilenceProgressIntervals = 3.5;
// Healthy engines stall for short moments, so a shorter silence is never a failure.
constexpr Duration kMinSilenceLimit = std::chrono::milliseconds(1500);
// Where no progress is reported, an attempt is expected to end within this multiple of its estimate.
constexpr double kSilenceEstimateRatio = 4;
// Least ratio of the projected to the usual duration that shows a bad plan.
constexpr double kBadPlanRatio = 3.0;
// Durations within this many deviations of their class's mean are no sign of a bad plan.
constexpr double kBadPlanMinDeviations = 2.0;
// Ratio of the elapsed time to the usual duration at which an attempt times out where no progress is
// reported. It is high because work estimates are imprecise.
constexpr double kTimeoutRatio = 10.0;

}  // namespace

double AttemptWatchdog::usual_duration_s(const Query& query, const Attempt& attempt) const {
  const double slowdown = congestion_.usual_slowdown(index_of(query.request.query_class));
  return std::max(attempt.estimate_s, attempt.unloaded_s * slowdown);
}

bool AttemptWatchdog::may_retry(const Query& query, Time now) const {
  return settings_.may_cancel && query.attempts.size() < settings_.max_attempts && retries_.allows_retry(now);
}

// Failure: an engine finishes or abandons a query but its answer never arrives, while it serves other
// queries. Symptom: one query runs into its deadline on a healthy engine. Guard: running queries report
// progress at a fixed interval, so an attempt that misses it is cancelled. Late progress costs a needless
// attempt.
bool AttemptWatchdog::is_answer_lost(const Attempt& attempt, Time engine_last_response, Time now) const {
  if (!settings_.may_cancel || !reports_progress() || !retries_.allows_retry(now)) return false;
  if (engine_last_response <= attempt.sent) return false;
  const double silent_s = to_seconds(now - std::max(attempt.sent, attempt.last_progress));
  return silent_s > kLostAnswerProgressIntervals * to_seconds(settings_.progress_interval);
}

// Failure: where no progress is reported, a bad plan, a hanging engine and a lost answer all look the same:
// an attempt that takes far longer than its class usually does. Symptom: the query runs into its deadline.
// Guard: the attempt is cancelled, and each further attempt of the query gets twice the time. When all
// queries are slow, the usual duration grows with them. A query whose work is far above its estimate loses an
// attempt.
bool AttemptWatchdog::has_timed_out(const Query& query, const Attempt& attempt, Time now) const {
  if (reports_progress() || !may_retry(query, now)) return false;
  const double timeout_ratio = kTimeoutRatio * std::exp2(static_cast<double>(query.attempts.size()) - 1);
  const double usual_s = usual_duration_s(query, attempt);
  return to_seconds(now - attempt.sent) > timeout_ratio * usual_s &&
         now + from_seconds(usual_s) < query.deadline;
}

// Failure: an attempt runs a bad query plan and occupies its engine for many times the usual duration.
// Symptom: one query is very late, and those beside it on the engine are slow. Guard: the attempt is
// cancelled if, at the reported rate, the remaining time exceeds that of a new attempt and the total is far
// above the prediction. For a query without a work estimate the total must also exceed the usual spread of
// its class, and a second attempt as slow as the first shows that the query itself is large.
bool AttemptWatchdog::has_bad_plan(Query& query, const Attempt& attempt, double done, Time now) const {
  if (!may_retry(query, now)) return false;
  const double elapsed_s = to_seconds(now - attempt.sent);
  const double projected_s = elapsed_s / done;
  const double usual_s = usual_duration_s(query, attempt);
  double ratio = kBadPlanRatio;
  if (!query.request.work) {
    if (projected_s > query.projected_duration_s / 2) return false;
    ratio = std::max(
        ratio, congestion_.deviation_factor(index_of(query.request.query_class), kBadPlanMinDeviations));
  }
  if (projected_s < ratio * usual_s || projected_s - elapsed_s < ratio / 2 * usual_s) return false;
  query.projected_duration_s = projected_s;
  return true;
}

Time AttemptWatchdog::silence_start(const Attempt& attempt) const {
  if (reports_progress()) return attempt.sent;
  return attempt.sent + from_seconds(kSilenceEstimateRatio * attempt.estimate_s);
}

Duration AttemptWatchdog::max_silence() const {
  return std::max(kMinSilenceLimit,
                  from_seconds(kSilenceProgressIntervals * to_seconds(settings_.progress_interval)));
}

}  // namespace yokestream::policy
