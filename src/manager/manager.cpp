#include "manager/manager.h"

#include <algorithm>
#include <cmath>
#include <variant>

namespace yokestream::manager {
namespace {

using lynxstand::AttemptEnded;
using lynxstand::Outcome;
using lynxstand::QueryId;
using std::chrono::milliseconds;

constexpr Duration kGuardDelay = milliseconds(8);  // past the deadline: the module should have answered
// Guards against a late last answer on a busy core. The module words it, and takes 20 ms as close enough.
constexpr Duration kAnswerBefore = milliseconds(15);
// The same against a core or a writer that does not run for a moment: all deadlines are kept this much early,
// or by this part of the time left where that is less.
constexpr Duration kSpare = milliseconds(60);
constexpr int kSpareParts = 16;
constexpr Duration kSweepEvery = milliseconds(500);
// Guards against two attempts at once: a stop and the next send leave on two connections and may overtake
// each other, so the next send waits until the engine has confirmed that it read the stop. Where
// nothing at all comes meanwhile, the link is closed, which gives up all that is open on it.
constexpr Duration kStopConfirmed = milliseconds(1000);
constexpr Duration kSilenceOver = milliseconds(1000);  // beyond the time between two notes
constexpr Duration kBusyWait = milliseconds(500);      // advice to a client when this manager itself is full
// After the word to leave clients still find this manager for a while: it serves what comes until then.
constexpr Duration kLeaveAccepts = milliseconds(800);
constexpr std::uint32_t kMostPages = 64;  // of one result
constexpr std::size_t kMostOpenOnSession = 64;

Links::Bounds link_bounds(const config::Config& config) {
  Links::Bounds bounds;
  bounds.streams = config.real.streams_per_connection;
  bounds.links = config.limits.sockets / 3;
  bounds.idle = config.real.idle_close / 2;  // well before the engine closes it under a request
  if (config.settings.note_every > Duration{}) bounds.silence = config.settings.note_every + kSilenceOver;
  return bounds;
}

Duration from_ms(double ms) { return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, 1e12) * 1e6)); }

std::string hello_tag(SendTag tag) { return "stop-" + std::to_string(tag); }

Outcome outcome_of(AnswerWord word) {
  if (word == AnswerWord::overload) return Outcome::shed;
  if (word == AnswerWord::nobody) return Outcome::never_sent;
  return Outcome::error;
}

}  // namespace

Manager::Manager(const config::Config& config, Time now, Directory::FromUnix from_unix, Budget& budget,
                 ClientPort& clients, EnginePort& engines, Log& log)
    : config_(config),
      budget_(budget),
      clients_(clients),
      engines_(engines),
      log_(log),
      directory_(config.real, std::move(from_unix)),
      links_(link_bounds(config), engines),
      controller_(config.settings, config.seed, now),
      now_(now) {
  bool first = true;
  for (const auto& event : config.known) tell(directory_.apply(event, std::exchange(first, false)));
  at(now + kSweepEvery, Sweep{});
  run_controller();
}

void Manager::step(Time now) { now_ = std::max(now_, now); }

void Manager::handle(Time now, Event event) {
  step(now);
  std::visit([this](auto& e) { on(std::move(e)); }, event);
  run_controller();
}

void Manager::tick(Time now) {
  step(now);
  while (!timers_.empty() && timers_.begin()->first <= now_) {
    const Timer timer = std::move(timers_.extract(timers_.begin()).mapped());
    std::visit([this](const auto& t) { due(t); }, timer);
    run_controller();
  }
}

Time Manager::next_due() const { return timers_.empty() ? Time::max() : timers_.begin()->first; }

// The controller hears one event at a time; what its actions bring about at once it hears afterwards, in
// turn.
void Manager::run_controller() {
  while (!told_.empty()) {
    const lynxstand::Event event = std::move(told_.front());
    told_.pop_front();
    actions_.clear();
    controller_.handle(now_, event, actions_);
    for (const auto& action : actions_) std::visit([this](const auto& a) { act(a); }, action);
  }
}

// ---- clients

Manager::Request* Manager::open_call(SessionId session, CallId call, QueryId* query) {
  const auto it = calls_.find({session, call});
  if (it == calls_.end()) return nullptr;
  *query = it->second;
  return &requests_.at(it->second);
}

void Manager::on(Arrived arrived) {
  const CallKey key{arrived.session, arrived.call};
  if (calls_.count(key)) {
    log_.note("a client used the id of an open request again; its connection is closed");
    clients_.close(arrived.session);
    return;
  }
  const auto first = calls_.lower_bound({arrived.session, 0});
  const auto last = calls_.upper_bound({arrived.session, ~CallId{0}});
  if (now_ >= accept_until_) return clients_.refuse(arrived.session, arrived.call, kBusyWait);
  const bool full = config_.real.open_cap > 0 && calls_.size() >= config_.real.open_cap;
  Reservation held;
  if (full || static_cast<std::size_t>(std::distance(first, last)) >= kMostOpenOnSession ||
      !budget_.take(held, arrived.statement.size())) {
    clients_.refuse(arrived.session, arrived.call, kBusyWait);
    return;
  }
  if (arrived.deadline <= now_) return clients_.fail(arrived.session, arrived.call, "Late");
  arrived.deadline -= std::min(kSpare, (arrived.deadline - now_) / kSpareParts);
  const QueryId query{++last_query_};
  lynxstand::QueryArrived q;
  q.query = query;
  q.cls = arrived.cls;
  q.tenant = arrived.tenant;
  q.tables = arrived.tables;
  q.memory_mb = arrived.memory_mb;
  q.work = arrived.work;
  q.time_left = arrived.deadline - now_;
  q.repeat = arrived.repeat;
  at(arrived.deadline - kAnswerBefore, Deadline{query});
  at(arrived.deadline + kGuardDelay, Guard{query});
  calls_.emplace(key, query);
  Request request;
  request.told = std::move(arrived);
  request.held = std::move(held);
  requests_.emplace(query, std::move(request));
  tell(q);
}

void Manager::on(const BadRequest& bad) { clients_.fail(bad.session, bad.call, bad.problem); }

void Manager::on(const ProbeAsked& probe) { clients_.answer_probe(probe.session, probe.call, !leaving_); }

void Manager::on(const GaveUp& gave_up) {
  QueryId query{};
  if (open_call(gave_up.session, gave_up.call, &query)) client_left(query);
}

void Manager::on(const SessionEnded& ended) {
  std::vector<QueryId> open;
  for (auto it = calls_.lower_bound({ended.session, 0});
       it != calls_.end() && it->first.first == ended.session; ++it)
    open.push_back(it->second);
  for (const QueryId query : open) client_left(query);
}

void Manager::on(const Leave&) {
  leaving_ = true;
  accept_until_ = now_ + kLeaveAccepts;
}

// The module withdraws what is out for it; nothing is owed any more.
void Manager::client_left(QueryId query) {
  const auto it = requests_.find(query);
  close_call(it->second);
  tell(lynxstand::ClientLeft{query});
  forget_if_done(it);
}

void Manager::close_call(Request& request) {
  request.answered = true;
  calls_.erase({request.told.session, request.told.call});
}

void Manager::forget_if_done(Requests::iterator it) {
  if (it->second.answered && !it->second.attempt) requests_.erase(it);
}

// ---- engines

void Manager::on(const LinkUp& up) {
  if (Link* link = links_.find(up.link)) link->up = true, link->heard = now_;
}

void Manager::on(const LinkEnded& ended) {
  Link* link = links_.find(ended.link);
  if (!link) return;
  // Copied, as ending an attempt takes it off the link.
  const auto carried = link->carries;
  const bool was_up = link->up;
  if (was_up && !carried.empty())
    log_.note("a connection to " + link->uid + " ended with " + std::to_string(carried.size()) +
              " attempts on it: " + ended.why);
  for (const auto& [id, query] : carried) {
    Request& request = requests_.at(query);
    const bool unwritten = engines_.withdraw(ended.link, request.attempt->tag);
    end_attempt(query, request,
                !was_up     ? Outcome::unreachable
                : unwritten ? Outcome::never_sent
                            : Outcome::reset,
                false);
  }
  links_.drop(ended.link);
}

// Engines answer in the order of what they read, so one that has answered the greeting has read the stop.
void Manager::stop_confirmed(const Link& link, const std::string& tag) {
  for (const auto& [id, query] : link.carries) {
    Request& request = requests_.at(query);
    if (hello_tag(request.attempt->tag) != tag) continue;
    return end_attempt(query, request, Outcome::cancelled, true);
  }
}

void Manager::on(const Answered& answered) {
  Link* link = links_.find(answered.link);
  if (!link) return;
  link->heard = now_;
  const EngineAnswer& answer = answered.answer;
  if (answer.word == AnswerWord::green) return stop_confirmed(*link, answer.id);
  const auto carried = link->carries.find(answer.id);
  if (carried == link->carries.end()) return;  // late: its attempt has ended
  const QueryId query = carried->second;
  Request& request = requests_.at(query);
  switch (answer.word) {
    case AnswerWord::update:
      return answered_note(query, *request.attempt, answer);
    case AnswerWord::served:
      return answered_served(query, request, answer);
    case AnswerWord::rows:
      return answered_rows(query, request, answer);
    case AnswerWord::overload:
    case AnswerWord::nobody:
    case AnswerWord::crashed:
      // Once it was served, what follows concerns its pages: it ran, and its result is lost.
      request.attempt->end.report = answer.report;
      return end_attempt(query, request,
                         request.attempt->phase == Phase::fetching ? Outcome::error : outcome_of(answer.word),
                         false);
    default:
      return;
  }
}

void Manager::answered_note(QueryId query, const Attempt& attempt, const EngineAnswer& answer) {
  if (answer.remark == Remark::none) return;
  lynxstand::AttemptNote note;
  note.query = query;
  note.attempt = attempt.number;
  note.engine.name = attempt.uid;
  note.value = answer.datum;
  note.note = answer.remark == Remark::progress   ? lynxstand::Note::progress
              : answer.remark == Remark::spill_mb ? lynxstand::Note::spills
              : answer.datum == 2                 ? lynxstand::Note::waits_for_load
                                                  : lynxstand::Note::waits_for_memory;
  tell(note);
}

void Manager::answered_served(QueryId query, Request& request, EngineAnswer answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase == Phase::fetching) return;
  if (attempt.phase == Phase::stopping && answer.pages > 1) return;  // its pages are gone with the stop
  if (answer.pages > kMostPages || !budget_.take(attempt.held, answer.body.size())) {
    log_.note("a result is too large, or results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.took = now_ - attempt.sent;
  attempt.end = std::move(answer);
  if (attempt.end.pages <= 1) return serve(query, request);
  attempt.phase = Phase::fetching;
  for (std::uint32_t page = 1; page < attempt.end.pages; ++page)
    engines_.fetch(attempt.link, request.told.request_id, page);
}

void Manager::answered_rows(QueryId query, Request& request, EngineAnswer answer) {
  Attempt& attempt = *request.attempt;
  if (attempt.phase != Phase::fetching || answer.page == 0 || answer.page >= attempt.end.pages) return;
  if (!budget_.take(attempt.held, answer.body.size())) {
    log_.note("results take too much memory");
    return give_up_attempt(query, request, Outcome::error);
  }
  attempt.pages.emplace(answer.page, std::move(answer.body));
  if (attempt.pages.size() + 1 < attempt.end.pages) return;
  engines_.end(attempt.link, request.told.request_id);
  for (auto& [page, rows] : attempt.pages) attempt.end.body += rows;
  serve(query, request);
}

void Manager::serve(QueryId query, Request& request) {
  Attempt& attempt = *request.attempt;
  if (!request.answered) {
    clients_.serve(request.told.session, request.told.call,
                   Result{std::move(attempt.end.body), std::move(attempt.held)});
    close_call(request);
  }
  end_attempt(query, request, Outcome::served, false);
}

// Ends an attempt from this side, now: what still comes of it is dropped.
void Manager::give_up_attempt(QueryId query, Request& request, Outcome outcome) {
  Attempt& attempt = *request.attempt;
  const bool unwritten = engines_.withdraw(attempt.link, attempt.tag);
  if (attempt.phase == Phase::fetching)
    engines_.end(attempt.link, request.told.request_id);  // it ran: only its pages are left to give up
  else if (!unwritten && attempt.phase != Phase::stopping)
    engines_.stop(attempt.link, request.told.request_id);
  end_attempt(query, request, outcome, !unwritten);
}

void Manager::end_attempt(QueryId query, Request& request, Outcome outcome, bool late_answer) {
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  links_.release(now_, attempt.link, request.told.request_id, late_answer);
  AttemptEnded end;
  end.query = query;
  end.attempt = attempt.number;
  end.engine.name = attempt.uid;
  end.outcome = outcome;
  end.took = outcome == Outcome::served ? attempt.took : now_ - attempt.sent;
  end.finished = request.answered;
  end.report = attempt.end.report;
  if (outcome == Outcome::served && attempt.end.elapsed_ms) {
    end.work = from_ms(*attempt.end.elapsed_ms);
    end.memory_mb = attempt.end.rss_mb;
  }
  tell(std::move(end));
  forget_if_done(requests_.find(query));
}

void Manager::on(const ListChanged& changed) {
  tell(directory_.apply(changed.event, false));
  // Guards the rule on drains: a request still queued for an engine that is no longer up is taken back, not
  // written late.
  std::vector<QueryId> out;
  for (const auto& [query, request] : requests_) {
    if (request.attempt && !directory_.usable(request.attempt->uid)) out.push_back(query);
  }
  for (const QueryId query : out) {
    Request& request = requests_.at(query);
    if (engines_.withdraw(request.attempt->link, request.attempt->tag))
      end_attempt(query, request, Outcome::never_sent, false);
  }
  links_.sweep(now_, directory_);
}

// ---- timers

void Manager::due(const Wake& wake) { tell(lynxstand::Woken{wake.token}); }

// The wait for an attempt ends with the client's; the module then words the final answer.
void Manager::due(const Deadline& deadline) {
  const auto it = requests_.find(deadline.query);
  if (it == requests_.end() || !it->second.attempt) return;
  give_up_attempt(deadline.query, it->second, Outcome::timed_out);
}

// Guards the rule that every request is answered: whatever went wrong before, this is the last moment.
void Manager::due(const Guard& guard) {
  const auto it = requests_.find(guard.query);
  if (it == requests_.end() || it->second.answered) return;
  log_.note("a request found no answer by its deadline");
  clients_.fail(it->second.told.session, it->second.told.call, "Late");
  client_left(guard.query);
}

void Manager::due(const AttemptTimer& timer) {
  const auto it = requests_.find(timer.query);
  if (it == requests_.end() || !it->second.attempt || it->second.attempt->tag != timer.tag) return;
  Attempt& attempt = *it->second.attempt;
  if (timer.outcome == Outcome::timed_out)
    return give_up_attempt(timer.query, it->second, Outcome::timed_out);
  const LinkId link = attempt.link;
  if (links_.find(link)->heard > timer.since)  // it is only slow: closing it would cost all that runs there
    return at(now_ + kStopConfirmed, AttemptTimer{timer.query, timer.tag, timer.outcome, now_});
  engines_.close(link);
  on(LinkEnded{link, "a stop was not confirmed"});
}

void Manager::due(const Sweep&) {
  links_.sweep(now_, directory_);
  at(now_ + kSweepEvery, Sweep{});
}

// ---- actions

void Manager::act(const lynxstand::Send& send) {
  const auto it = requests_.find(send.query);
  if (it == requests_.end()) return;
  Request& request = it->second;
  const lynxstand::AttemptNo number{request.attempts++};
  const auto not_sent = [&](Outcome outcome) {
    AttemptEnded end;
    end.query = send.query;
    end.attempt = number;
    end.engine = send.engine;
    end.outcome = outcome;
    end.finished = request.answered;
    tell(std::move(end));
  };
  if (request.answered || request.attempt) return not_sent(Outcome::never_sent);
  const EngineRecord* engine = directory_.usable(send.engine.name);
  if (!engine) return not_sent(Outcome::unreachable);
  const std::string& id = request.told.request_id;
  const auto link = links_.pick(now_, send.engine.name, *engine, id, now_ + config_.real.dial_time);
  if (!link) return not_sent(Outcome::unreachable);
  links_.carry(now_, *link, id, send.query);
  Attempt attempt;
  attempt.number = number;
  attempt.uid = send.engine.name;
  attempt.link = *link;
  attempt.tag = ++last_tag_;
  attempt.sent = now_;
  Time until = request.told.deadline;
  if (send.time_out > Duration{} && now_ + send.time_out < until) {
    until = now_ + send.time_out;
    at(until, AttemptTimer{send.query, attempt.tag, Outcome::timed_out, now_});
  }
  EngineRequest out;
  out.id = id;
  out.profile = config_.real.classes[static_cast<std::size_t>(request.told.cls)];
  out.deadline = until;
  out.band = request.priority;
  out.statement = request.told.statement;
  engines_.send(*link, attempt.tag, std::move(out));
  request.attempt = std::move(attempt);
}

void Manager::act(const lynxstand::Cancel& cancel) {
  const auto it = requests_.find(cancel.query);
  if (it == requests_.end() || !it->second.attempt) return;
  Request& request = it->second;
  Attempt& attempt = *request.attempt;
  if (attempt.number != cancel.attempt || attempt.phase == Phase::stopping) return;
  if (attempt.phase == Phase::fetching) {  // it has run, and only its pages are on the way
    if (request.answered) give_up_attempt(cancel.query, request, Outcome::cancelled);
    return;
  }
  if (engines_.withdraw(attempt.link, attempt.tag))
    return end_attempt(cancel.query, request, Outcome::never_sent, false);
  if (request.answered) return give_up_attempt(cancel.query, request, Outcome::cancelled);
  attempt.phase = Phase::stopping;
  engines_.stop(attempt.link, request.told.request_id);
  engines_.hello(attempt.link, hello_tag(attempt.tag));
  at(now_ + kStopConfirmed, AttemptTimer{cancel.query, attempt.tag, Outcome::reset, now_});
}

void Manager::act(const lynxstand::Refuse& refuse) {
  const auto it = requests_.find(refuse.query);
  if (it == requests_.end() || it->second.answered) return;
  clients_.refuse(it->second.told.session, it->second.told.call, refuse.come_back_after);
  close_call(it->second);
  forget_if_done(it);
}

void Manager::act(const lynxstand::Fail& fail) {
  const auto it = requests_.find(fail.query);
  if (it == requests_.end() || it->second.answered) return;
  clients_.fail(it->second.told.session, it->second.told.call, "Failed");
  close_call(it->second);
  forget_if_done(it);
}

void Manager::act(const lynxstand::SetTerms& terms) {
  const auto it = requests_.find(terms.query);
  if (it == requests_.end()) return;
  Request& request = it->second;
  if (request.attempt && request.priority != terms.priority)
    engines_.nice(request.attempt->link, request.told.request_id, terms.priority);
  request.priority = terms.priority;
}

void Manager::act(const lynxstand::WakeAfter& wake) { at(now_ + wake.after, Wake{wake.token}); }

// Engines are not probed here; a module that asks all the same is told so.
void Manager::act(const lynxstand::Probe& probe) {
  tell(lynxstand::ProbeEnded{probe.engine, Outcome::unreachable, {}, {}});
}

}  // namespace yokestream::manager
