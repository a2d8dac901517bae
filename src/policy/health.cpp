// One signal an engine; silence, lost answers, bad plans, and what is called back.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kLostNotes = 2.6;  // notes missed by one attempt, its engine heard from: its answer is lost
constexpr double kFailing = 0.45;   // failing share at which an engine is shunned
constexpr double kWell = 0.03;      // failing share of one that serves again
constexpr double kSilentNotes = 3.5;                   // notes missed in a row that make an engine silent
constexpr Duration kSilentLeast = milliseconds(1500);  // no shorter silence counts: engines stall for moments
constexpr double kBadPlan = 3.0;                       // times the expected time: an attempt with a bad plan
constexpr double kScatter = 2.0;   // mean deviations of a class's times (logarithms) that are no bad plan
constexpr double kOverdue = 10.0;  // the same where no notes tell: told work scatters
constexpr Duration kProbeAnswer = milliseconds(400);  // without an answer: the probe is lost

}  // namespace

void AdmissionController::Impl::good_sign(Engine& e, bool answered, Time sent) {
  e.heard = now;
  if (!answered) return;
  e.failure_ratio *= 1 - kFailStep;
  e.full_backoff = std::max(kFullLeast, e.full_backoff / 2);
  if (e.failure_ratio < kWell) e.backoff = kBackoffLeast;
  // Danger: an engine that fails most, not all, looks well by the odd answer. Only what was sent since it
  // was shunned brings it back, and then one more failure is enough.
  if (e.ejected && sent > e.shunned_since) {
    e.ejected = false;
    e.failure_ratio = kFailing * 0.9;
  }
}

void AdmissionController::Impl::bad_sign(Engine& e, double weight) {
  e.failure_ratio += weight * (1 - e.failure_ratio);
  if (e.failure_ratio < kFailing) return;
  if (!e.ejected || now >= e.trial_at - e.backoff / 2) {
    e.trial_at = now + e.backoff;
    e.backoff = std::min(2 * e.backoff, kBackoffMost);
  }
  if (!e.ejected) e.shunned_since = now;
  e.ejected = true;
}

// Danger: an engine or the way to it goes dead without a word. Notes, and answers, of anything that runs
// there would have come by now. Queries that may be called back are, and go elsewhere.
void AdmissionController::Impl::watch_silence() {
  if (now < resumed + 2 * kTick) return;
  for (auto& [name, e] : engines) {
    Time oldest = Time::max();
    for (const QueryId id : e.running) {
      const Attempt& a = queries.at(id).attempts.back();
      if (answer_lost(e, a) || overdue(queries.at(id), a)) cancel(queries.at(id));
      oldest = std::min(
          oldest, a.sent + (s.progress_interval > Duration{} ? Duration{} : from_seconds(4 * a.estimate)));
    }
    if (oldest == Time::max()) continue;
    const Duration patience =
        std::max(kSilentLeast, from_seconds(kSilentNotes * seconds(s.progress_interval)));
    if (now - std::max(oldest, e.heard) < patience) continue;
    if (s.may_probe && now - e.probed >= patience) probe(e);  // a front of many hears little of any engine
    if (s.may_probe && now - e.probed < kProbeAnswer) continue;
    if (!e.ejected) e.failure_ratio = 1, bad_sign(e, 1);
    if (!s.may_cancel) continue;
    for (const QueryId id : e.running) cancel(queries.at(id));
  }
}

// Danger: the work is done, or given up, but its answer never comes, while the engine serves the rest.
// Notes of what runs come on time; an attempt without them is called back and goes elsewhere. Hurts where
// notes are late.
bool AdmissionController::Impl::answer_lost(const Engine& e, const Attempt& a) const {
  if (!s.may_cancel || s.progress_interval <= Duration{} || !extra_left()) return false;
  return e.heard > a.sent &&
         seconds(now - std::max(a.sent, a.heard)) > kLostNotes * seconds(s.progress_interval);
}

// Danger: where no notes come, a bad plan, a hanging engine and a lost answer all look like an attempt far
// past what its class takes. It is called back and goes elsewhere, each time after twice the patience; when
// all are slow the usual grows with them. Hurts a query that is far dearer than told.
bool AdmissionController::Impl::overdue(const Query& q, const Attempt& a) const {
  if (!s.may_cancel || s.progress_interval > Duration{} || q.attempts.size() >= s.max_attempts ||
      !extra_left())
    return false;
  const double patience = kOverdue * std::exp2(static_cast<double>(q.attempts.size()) - 1);
  const double expected = usual_time(q, a);
  return seconds(now - a.sent) > patience * expected && now + from_seconds(expected) < q.deadline;
}

// Only what may run again, or what nobody waits for any more, is called back.
void AdmissionController::Impl::cancel(Query& q) {
  Attempt& a = q.attempts.back();
  const auto& c = cls(q);
  const bool again = c.idempotency == Idempotency::idempotent ||
                     (c.idempotency == Idempotency::keyed && now - a.sent < c.deduplication_window / 2);
  if (!a.out || a.cancelling || q.streaming || !(again || q.finished)) return;
  a.cancelling = true;
  act(Cancel{q.told.query, AttemptNumber{static_cast<std::uint32_t>(q.attempts.size() - 1)}});
}

// Danger: an attempt drew a bad plan and would hold its engine for many times the usual. At the pace told,
// what is left must be dearer than a fresh attempt, and the whole far dearer than predicted: further than
// the class scatters anyway where no work is told. There, one as slow again is the query's own work.
void AdmissionController::Impl::judge_progress(Query& q, const Attempt& a, double done) {
  if (!s.may_cancel || q.attempts.size() >= s.max_attempts || !extra_left()) return;
  const double elapsed = seconds(now - a.sent);
  const double whole = elapsed / done;
  const double expected = usual_time(q, a);
  double far = kBadPlan;
  if (!q.told.work) {
    if (whole > q.whole / 2) return;
    far = std::max(far, std::exp(kScatter * classes[pos(q.told.query_class)].log_slowdown_deviation));
  }
  if (whole < far * expected || whole - elapsed < far / 2 * expected) return;
  q.whole = whole;
  cancel(q);
}

}  // namespace yokestream::policy
