#include "attempt_watchdog.h"

#include <algorithm>
#include <cmath>

namespace yokestream::policy {
namespace {

constexpr double kMissedProgressOfLostAnswer = 2.6;  // progress intervals without a word of the attempt
constexpr double kMissedProgressOfSilence = 3.5;     // without a word of the engine
constexpr Duration kMinSilence = std::chrono::milliseconds(1500);  // engines stall for moments
constexpr double kSilenceEstimates = 4;     // estimates after which an attempt without progress should end
constexpr double kBadPlanRatio = 3.0;       // of the usual time
constexpr double kScatterDeviations = 2.0;  // of a class's times that are no bad plan
constexpr double kTimeoutRatio = 10.0;      // of the usual time, where no progress tells: told work scatters

}  // namespace

double AttemptWatchdog::usual_time_s(const Query& query, const Attempt& attempt) const {
  const double slowdown = congestion_.usual_slowdown(index_of(query.request.query_class));
  return std::max(attempt.estimate_s, attempt.unloaded_s * slowdown);
}

bool AttemptWatchdog::may_retry(const Query& query, Time now) const {
  return settings_.may_cancel && query.attempts.size() < settings_.max_attempts && retries_.allows_retry(now);
}

// Failure: the work is done, or given up, but its answer never comes, while the engine serves the rest.
// Symptom: one query runs into its deadline on a healthy engine. Guard: progress of what runs comes on time;
// an attempt without it is cancelled. It costs an attempt where progress is late.
bool AttemptWatchdog::answer_lost(const Attempt& attempt, Time engine_last_response, Time now) const {
  if (!settings_.may_cancel || !tells_progress() || !retries_.allows_retry(now)) return false;
  if (engine_last_response <= attempt.sent) return false;
  const double silent_s = to_seconds(now - std::max(attempt.sent, attempt.last_progress));
  return silent_s > kMissedProgressOfLostAnswer * to_seconds(settings_.progress_interval);
}

// Failure: where no progress is told, a bad plan, a hanging engine and a lost answer all look like an attempt
// far past what its class takes. Symptom: the query runs into its deadline. Guard: it is cancelled, each time
// after twice the patience; when all are slow the usual time grows with them. It costs an attempt of a query
// whose work is far more than told.
bool AttemptWatchdog::timed_out(const Query& query, const Attempt& attempt, Time now) const {
  if (tells_progress() || !may_retry(query, now)) return false;
  const double patience = kTimeoutRatio * std::exp2(static_cast<double>(query.attempts.size()) - 1);
  const double usual_s = usual_time_s(query, attempt);
  return to_seconds(now - attempt.sent) > patience * usual_s && now + from_seconds(usual_s) < query.deadline;
}

// Failure: an attempt drew a bad plan and would hold its engine for many times the usual. Symptom: one query
// is late by many times, and those beside it are slow. Guard: at the pace told, what is left must be longer
// than a fresh attempt, and the whole far longer than predicted: further than the class scatters anyway where
// no work is told. There, a second attempt as slow as the first shows the query's own work.
bool AttemptWatchdog::has_bad_plan(Query& query, const Attempt& attempt, double done, Time now) const {
  if (!may_retry(query, now)) return false;
  const double elapsed_s = to_seconds(now - attempt.sent);
  const double projected_s = elapsed_s / done;
  const double usual_s = usual_time_s(query, attempt);
  double ratio = kBadPlanRatio;
  if (!query.request.work) {
    if (projected_s > query.projected_duration_s / 2) return false;
    ratio = std::max(ratio,
                     congestion_.deviation_factor(index_of(query.request.query_class), kScatterDeviations));
  }
  if (projected_s < ratio * usual_s || projected_s - elapsed_s < ratio / 2 * usual_s) return false;
  query.projected_duration_s = projected_s;
  return true;
}

Time AttemptWatchdog::silence_begins(const Attempt& attempt) const {
  if (tells_progress()) return attempt.sent;
  return attempt.sent + from_seconds(kSilenceEstimates * attempt.estimate_s);
}

Duration AttemptWatchdog::silence_limit() const {
  return std::max(kMinSilence,
                  from_seconds(kMissedProgressOfSilence * to_seconds(settings_.progress_interval)));
}

}  // namespace yokestream::policy
