// Attempts and their phases: what is out at engines, over which links, and how it ends from this side.
//
// Invariants. A request has at most one attempt; the next starts only after end_attempt(), which happens when
// the engine answered, its link ended, nothing of it was written (withdrawn), or the engine has confirmed
// that it read the stop. Every attempt ends exactly once and the module hears of each. Nothing new goes to an
// engine that the directory does not hold for usable, and what is still queued for one that went is taken
// back.
#include <algorithm>
#include <utility>

#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::AttemptEnded;
using policy::Outcome;
using policy::QueryId;
using std::chrono::milliseconds;

// Guards against two attempts at once: a stop and the next send leave on two connections and may overtake
// each other, so the next send waits until the engine has confirmed that it read the stop. Where
// nothing at all comes meanwhile, the link is closed, which gives up all that is open on it.
constexpr Duration kStopConfirmed = milliseconds(1000);

Duration from_ms(double ms) { return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, 1e12) * 1e6)); }

}  // namespace

// Ends an attempt from this side, now: what still comes of it is dropped.
void Dispatcher::give_up_attempt(QueryId query, Request& request, Outcome outcome) {
  Attempt& attempt = *request.attempt;
  const bool unwritten = take_back(attempt);
  if (attempt.phase == Phase::fetching)
    engines_.release_result(attempt.link,
                            request.told.request_id);  // it ran: only its pages are left to give up
  else if (!unwritten && attempt.phase != Phase::stopping)
    engines_.cancel(attempt.link, request.told.request_id);
  end_attempt(query, request, outcome);
}

void Dispatcher::end_attempt(QueryId query, Request& request, Outcome outcome) {
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  links_.release(now_, attempt.link, request.told.request_id);
  if (queues_) queues_->ended(query);
  AttemptEnded end;
  end.query = query;
  end.attempt = attempt.number;
  end.engine.name = attempt.uid;
  end.outcome = outcome;
  end.elapsed = outcome == Outcome::served ? attempt.took : now_ - attempt.sent;
  end.query_finished = request.answered;
  end.load_report = attempt.end.load_report;
  if (outcome == Outcome::served && attempt.end.work_ms) {
    end.work = from_ms(*attempt.end.work_ms);
    end.memory_mb = attempt.end.memory_mb;
  }
  request.past.ran |=
      outcome != Outcome::never_sent && outcome != Outcome::unreachable && outcome != Outcome::shed;
  if (outcome == Outcome::served) request.past.took = now_ - request.passed;
  if (end.work) request.past.real = std::chrono::duration<double>(*end.work).count();
  tell(std::move(end));
  forget_if_done(requests_.find(query));
}

void Dispatcher::on(const EngineListChanged& changed) {
  tell(take_list(changed.event, false));
  tell_routes();
  tell_stations_of_engines();
  // Guards the rule on drains: a request still queued for an engine that is no longer up is taken back, not
  // written late.
  std::vector<QueryId> out;
  for (const auto& [query, request] : requests_) {
    if (request.attempt && !directory_.find_available(request.attempt->uid)) out.push_back(query);
  }
  for (const QueryId query : out) {
    Request& request = requests_.at(query);
    if (take_back(*request.attempt)) end_attempt(query, request, Outcome::never_sent);
  }
}

// The wait for an attempt ends with the client's; the module then words the final answer.
void Dispatcher::due(const Deadline& deadline) {
  const auto it = requests_.find(deadline.query);
  it->second.deadline = timers_.end();
  if (!it->second.attempt) return;
  give_up_attempt(deadline.query, it->second, Outcome::timed_out);
}

void Dispatcher::due(const AttemptTimer& timer) {
  const auto it = requests_.find(timer.query);
  if (it == requests_.end() || !it->second.attempt || it->second.attempt->tag != timer.tag) return;
  Attempt& attempt = *it->second.attempt;
  if (timer.outcome == Outcome::never_sent) {  // its grant is over: what has not left never will
    if (take_back(attempt)) end_attempt(timer.query, it->second, Outcome::never_sent);
    return;
  }
  if (timer.outcome == Outcome::timed_out)
    return give_up_attempt(timer.query, it->second, Outcome::timed_out);
  const EngineConnectionId link = attempt.link;
  if (links_.find(link)->heard > timer.since) {  // only slow: closing it would cost all that runs there
    at(now_ + kStopConfirmed, AttemptTimer{timer.query, timer.tag, timer.outcome, now_});
    return;
  }
  engines_.close(link);
  on(EngineDisconnected{link, "a stop was not confirmed"});
}

void Dispatcher::act(const policy::Cancel& cancel) {
  const auto it = requests_.find(cancel.query);
  if (it == requests_.end() || !it->second.attempt) return;
  Request& request = it->second;
  Attempt& attempt = *request.attempt;
  if (attempt.number != cancel.attempt || attempt.phase == Phase::stopping) return;
  if (attempt.phase == Phase::fetching) {  // it has run, and only its pages are on the way
    if (request.answered) give_up_attempt(cancel.query, request, Outcome::cancelled);
    return;
  }
  if (take_back(attempt)) return end_attempt(cancel.query, request, Outcome::never_sent);
  if (request.answered) return give_up_attempt(cancel.query, request, Outcome::cancelled);
  attempt.phase = Phase::stopping;
  engines_.cancel(attempt.link, request.told.request_id);
  engines_.ping(attempt.link, cancel_confirmation_tag(attempt.tag));
  at(now_ + kStopConfirmed, AttemptTimer{cancel.query, attempt.tag, Outcome::reset, now_});
}

void Dispatcher::act(const policy::SetExecutionTerms& terms) {
  const auto it = requests_.find(terms.query);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const bool changed = std::exchange(request.priority, terms.priority) != terms.priority;
  if (!request.attempt || !changed) return;
  const auto band =
      queues_ ? queues_->wish(now_, terms.query, terms.priority) : std::optional(terms.priority);
  if (band) engines_.set_priority(request.attempt->link, request.told.request_id, *band);
}

void Dispatcher::act(const policy::StartTimer& wake) { at(now_ + wake.delay, Wake{wake.token}); }

// Engines are not probed here; a module that asks all the same is told so.
void Dispatcher::act(const policy::Probe& probe) {
  tell(policy::ProbeEnded{probe.engine, Outcome::unreachable, {}, {}});
}

}  // namespace yokestream::dispatch
