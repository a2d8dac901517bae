// How attempts end, and what is heard of them meanwhile.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr double kBillsPresumed = 3;  // answers for which the told work is taken to be right, at first
constexpr double kRefusedStep = 0.5;  // the same of a refused connection
constexpr Duration kUnknownRest = milliseconds(1000);  // for a load known only by those that wait for it

}  // namespace

void AdmissionController::Impl::on(const AttemptEnded& end) {
  const auto it = queries.find(end.query);
  const auto where = engines.find(end.engine.name);
  if (it == queries.end() || pos(end.attempt) >= it->second.attempts.size()) return;
  Query& q = it->second;
  Attempt& a = q.attempts[pos(end.attempt)];
  if (!a.out || where == engines.end()) return;
  Engine& e = where->second;
  const Outcome o = end.outcome;
  a.out = false;
  --q.out;
  read_report(e, end.load_report);
  e.n[pos(q.told.query_class)] -= 1;
  e.threads -= cls(q).threads;
  threads -= cls(q).threads;
  e.granted -= a.memory;
  e.running.erase(end.query);
  if (o != Outcome::timed_out || s.may_cancel) {  // else it runs on
    if (cls(q).locks_table_group) e.load_ends(pos(end.query));
    tell(q, a, e, 0);
  }
  if (o == Outcome::served) {
    good_sign(e, true, a.sent);
    if (!q.streaming && !a.behind_load && now >= resumed + kTick) learn(q, a, e, seconds(end.elapsed));
    auto& c = classes[pos(q.told.query_class)];
    // means of logarithms: bad plans take many times the told work, and told work scatters
    if (end.work && *end.work > Duration{} && q.told.work)
      c.work_factor *= std::pow(seconds(*end.work) / (seconds(*q.told.work) * c.work_factor),
                                std::max(kBiasStep, 1 / (++c.cost_reports + kBillsPresumed)));
    if (!a.spilled) c.memory_factor = std::max(1.0, c.memory_factor * 0.998);
  } else if (o == Outcome::shed) {
    strain += kStrainStep * (kStrainMost - strain);
    e.full_until = now + e.full_backoff;
    e.full_backoff = std::min(2 * e.full_backoff, kBackoffMost);
    e.bound = std::max(1.0, e.bound * kCut);
    e.heard = now;
  } else if (o == Outcome::unreachable || o == Outcome::reset || o == Outcome::error) {
    bad_sign(e, o == Outcome::unreachable ? kRefusedStep : kFailStep);
    if (o == Outcome::error) e.heard = now;
  } else if (o == Outcome::timed_out && e.heard < a.sent) {
    bad_sign(e, kFailStep);  // nothing at all came from it meanwhile; else the answer was lost, or is late
  }
  const bool may_run = o != Outcome::shed && o != Outcome::unreachable && o != Outcome::never_sent;
  if (may_run) {
    q.may_have_run = true;
    if (!q.may_run_since) q.may_run_since = a.sent, q.ran_on = a.engine;
    if (cls(q).ordered && q.told.order_key && o != Outcome::served && o != Outcome::error) {
      auto& key = keys.at(*q.told.order_key);
      key.pause_until = std::max(key.pause_until, now + s.order_pause);
    }
  }
  if (end.query_finished) q.finished = true, unhold(q);
  if (!q.finished && q.out == 0) {
    if (q.streaming || hopeless(q) || now + kTick >= q.deadline)
      give_up(q, 0);
    else
      hold(q);
  }
  forget(end.query);
}

void AdmissionController::Impl::on(const AttemptProgress& note) {
  const auto it = queries.find(note.query);
  const auto where = engines.find(note.engine.name);
  if (it == queries.end() || where == engines.end() || pos(note.attempt) >= it->second.attempts.size())
    return;
  Query& q = it->second;
  Attempt& a = q.attempts[pos(note.attempt)];
  good_sign(where->second, false, a.sent);
  a.heard = now;
  if (!a.out || q.finished) return;
  if (note.kind == ProgressKind::spilling && q.told.memory_mb > 0 && !a.spilled) {
    a.spilled = true;
    auto& c = classes[pos(q.told.query_class)];
    if (a.memory > 0) c.memory_factor = std::min(4.0, c.memory_factor * 1.02);
  }
  if (note.kind == ProgressKind::waiting_for_table_group && !a.behind_load) {  // a load that nobody told of
    a.behind_load = true;
    where->second.load_begins(q.told.table_group, kUnknownLoad, now + kUnknownRest);
  }
  if (note.kind == ProgressKind::progress && note.value > 0) judge_progress(q, a, note.value);
}

void AdmissionController::Impl::on(const ResponseStarted& start) {
  if (const auto it = queries.find(start.query); it != queries.end()) it->second.streaming = true;
  if (const auto e = engines.find(start.engine.name); e != engines.end()) good_sign(e->second, false, now);
}

void AdmissionController::Impl::on(const ProbeEnded& probe) {
  const auto it = engines.find(probe.engine.name);
  probes_out = std::max(0, probes_out - 1);
  if (it == engines.end()) return;
  if (probe.outcome != Outcome::served) return bad_sign(it->second, kRefusedStep);
  good_sign(it->second, it->second.ejected, now);
  read_report(it->second, probe.load_report);
}

}  // namespace yokestream::policy
