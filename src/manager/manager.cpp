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
constexpr Duration kSweepEvery = milliseconds(200);
// Guards against two attempts at once: a stop and the next send leave on two connections and may overtake
// each other, so the next send waits until the engine has confirmed that it read the stop. Where
// nothing at all comes meanwhile, the link is closed, which gives up all that is open on it.
constexpr Duration kStopConfirmed = milliseconds(1000);
constexpr Duration kAskAfter = milliseconds(500);  // a link with something on it that is silent
constexpr Duration kBusyWait = milliseconds(500);  // advice to a client when this manager itself is full
// After the word to leave clients still find this manager for a while, and it serves what comes; what comes
// later finds no time to be served. It may be killed 3.7 s on, so by then everybody has an answer.
constexpr Duration kLeaveAccepts = milliseconds(700);
constexpr Duration kLeaveListens = milliseconds(2400);  // so long, who waits to be accepted still is
constexpr Duration kLeaveEnds = milliseconds(2900);
constexpr std::uint32_t kMostPages = 64;  // of one result
constexpr int kColumns = 3;
// A client must hear something within 3 s, though it asks for nothing. Usual ones close after 4 s without a
// request; who then keeps the connection for good holds it for no reason.
constexpr Duration kFirstWithin = milliseconds(2200);
constexpr Duration kSessionIdle = milliseconds(6000);
constexpr std::size_t kMostOpenOnSession = 32;
constexpr Duration kSuspicion = milliseconds(1000);  // of a client whose request no engine could use

Links::Bounds link_bounds(const config::Config& config) {
  Links::Bounds bounds;
  bounds.streams = config.real.streams_per_connection;
  bounds.links = config.limits.links();
  bounds.idle = config.real.idle_close / 2;  // well before the engine closes it under a request
  bounds.ask_after = kAskAfter;
  return bounds;
}

Sessions::Bounds session_bounds(const config::Config& config) {
  Sessions::Bounds bounds;
  bounds.sessions = config.limits.sessions();
  bounds.open = kMostOpenOnSession;
  bounds.first_within = kFirstWithin;
  bounds.idle = kSessionIdle;
  bounds.suspicion = kSuspicion;
  return bounds;
}

Duration from_ms(double ms) { return Duration(static_cast<Duration::rep>(std::clamp(ms, 0.0, 1e12) * 1e6)); }

std::string hello_tag(SendTag tag) { return "stop-" + std::to_string(tag); }

// Whole rows of three columns, each with a line feed after it; only a result of one page may have none.
bool good_page(const EngineAnswer& answer, bool may_be_empty) {
  const std::string& rows = answer.body;
  if (rows.empty()) return may_be_empty;
  if (rows.back() != '\n') return false;
  int tabs = 0;
  for (const char c : rows) {
    if (c == '\t') ++tabs;
    if (c == '\n' && std::exchange(tabs, 0) != kColumns - 1) return false;
    if (c != '\t' && c != '\n' && (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)) return false;
  }
  return true;
}

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
      sessions_(session_bounds(config)),
      controller_(config.settings, config.seed, now),
      now_(now) {
  bool first = true;
  for (const auto& event : config.known) tell(directory_.apply(now, event, std::exchange(first, false)));
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

void Manager::on(const SessionBegan& began) {
  if (const auto victim = sessions_.begin(now_, began.session)) close_idle(*victim);
}

void Manager::close_idle(SessionId session) {
  if (!clients_.close_idle(session)) sessions_.keep(session);
}

void Manager::on(Arrived arrived) {
  const CallKey key{arrived.session, arrived.call};
  if (calls_.count(key)) {
    log_.note("a client used the number of an open request again; its connection is closed");
    clients_.close(arrived.session);
    return;
  }
  // Guards the engines, and what the module believes of them, against a client whose requests they can't use.
  if (sessions_.suspect(now_, arrived.session)) return fail(arrived.session, arrived.call, "Unusable");
  // Guards against an answer to the wrong one: engines know requests by the clients' ids alone.
  if (ids_.count(arrived.request_id)) return fail(arrived.session, arrived.call, "bad field req: in use");
  const bool full = config_.real.open_cap > 0 && calls_.size() >= config_.real.open_cap;
  Reservation held;
  if (!accepts(now_) || full || !sessions_.may_open(arrived.session) ||
      !budget_.take(held, arrived.statement.size()))
    return refuse(arrived.session, arrived.call, kBusyWait);
  if (arrived.deadline <= now_) return fail(arrived.session, arrived.call, "Late");
  arrived.deadline -= std::min(kSpare, (arrived.deadline - now_) / kSpareParts);
  arrived.deadline = std::min(arrived.deadline, end_by_);
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
  Request request;
  request.deadline = at(arrived.deadline - kAnswerBefore, Deadline{query});
  request.guard = at(arrived.deadline + kGuardDelay, Guard{query});
  calls_.emplace(key, query);
  ids_.insert(arrived.request_id);
  sessions_.opened(now_, arrived.session);
  request.told = std::move(arrived);
  request.held = std::move(held);
  requests_.emplace(query, std::move(request));
  tell(q);
}

void Manager::refuse(SessionId session, CallId call, Duration come_back_after) {
  const bool advise = config_.settings.may_advise_wait;
  clients_.refuse(session, call,
                  advise ? std::min(come_back_after, config_.settings.most_wait_advice) : Duration{});
  if (sessions_.answered(now_, session)) clients_.close(session);
}

void Manager::fail(SessionId session, CallId call, std::string_view why) {
  clients_.fail(session, call, why);
  if (sessions_.answered(now_, session)) clients_.close(session);
}

void Manager::on(const BadRequest& bad) { fail(bad.session, bad.call, bad.problem); }

void Manager::on(const ProbeAsked& probe) {
  clients_.answer_probe(probe.session, probe.call, accept_until_ == Time::max());
  sessions_.answered(now_, probe.session);
}

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
  sessions_.end(ended.session);
}

void Manager::on(const Leave&) {
  if (accept_until_ != Time::max()) return;
  accept_until_ = now_ + kLeaveAccepts;
  listen_until_ = now_ + kLeaveListens;
  end_by_ = now_ + kLeaveEnds;
  at(end_by_, EndAll{});
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
  sessions_.closed(now_, request.told.session);
  drop(request.guard);
}

void Manager::drop(Timers::iterator& timer) {
  if (timer != timers_.end()) timers_.erase(timer);
  timer = timers_.end();
}

void Manager::forget_if_done(Requests::iterator it) {
  if (!it->second.answered || it->second.attempt) return;
  ids_.erase(it->second.told.request_id);
  drop(it->second.deadline);
  requests_.erase(it);
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
                            : Outcome::reset);
  }
  links_.drop(ended.link);
}

// Engines answer in the order of what they read, so one that has answered the greeting has read the stop.
void Manager::stop_confirmed(const Link& link, const std::string& tag) {
  for (const auto& [id, query] : link.carries) {
    Request& request = requests_.at(query);
    if (hello_tag(request.attempt->tag) != tag) continue;
    return end_attempt(query, request, Outcome::cancelled);
  }
}

void Manager::on(const Answered& answered) {
  Link* link = links_.find(answered.link);
  if (!link) return;
  link->heard = now_;
  link->unheard = 0;
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
      if (answer.word == AnswerWord::crashed && request.attempt->phase == Phase::out && !request.answered &&
          !sessions_.proven(request.told.session))
        return unusable(query, request);
      return end_attempt(
          query, request,
          request.attempt->phase == Phase::fetching ? Outcome::error : outcome_of(answer.word));
    case AnswerWord::green:
      return;
  }
}

// Guards the engines' good name and the ration of further attempts: a client that no engine has served yet
// asks for what none can use. It hears so at once, and the module takes the attempt for one called back.
void Manager::unusable(QueryId query, Request& request) {
  sessions_.blame(now_, request.told.session);
  fail(request.told.session, request.told.call, "Unusable");
  close_call(request);
  end_attempt(query, request, Outcome::cancelled);
}

// Guards clients against rows that no engine made. Whoever spoils one answer is not believed in the next: the
// connection goes, and all that ran there may have run.
void Manager::spoilt(LinkId link) {
  engines_.close(link);
  on(LinkEnded{link, "an answer was spoilt"});
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
  if (answer.pages == 0 || !good_page(answer, answer.pages == 1)) return spoilt(attempt.link);
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
  if (!good_page(answer, false)) return spoilt(attempt.link);
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
    sessions_.served(now_, request.told.session);
    close_call(request);
  }
  end_attempt(query, request, Outcome::served);
}

// Ends an attempt from this side, now: what still comes of it is dropped.
void Manager::give_up_attempt(QueryId query, Request& request, Outcome outcome) {
  Attempt& attempt = *request.attempt;
  const bool unwritten = engines_.withdraw(attempt.link, attempt.tag);
  if (attempt.phase == Phase::fetching)
    engines_.end(attempt.link, request.told.request_id);  // it ran: only its pages are left to give up
  else if (!unwritten && attempt.phase != Phase::stopping)
    engines_.stop(attempt.link, request.told.request_id);
  end_attempt(query, request, outcome);
}

void Manager::end_attempt(QueryId query, Request& request, Outcome outcome) {
  const Attempt attempt = std::move(*request.attempt);
  request.attempt.reset();
  links_.release(now_, attempt.link, request.told.request_id);
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
  tell(directory_.apply(now_, changed.event, false));
  // Guards the rule on drains: a request still queued for an engine that is no longer up is taken back, not
  // written late.
  std::vector<QueryId> out;
  for (const auto& [query, request] : requests_) {
    if (request.attempt && !directory_.usable(request.attempt->uid)) out.push_back(query);
  }
  for (const QueryId query : out) {
    Request& request = requests_.at(query);
    if (engines_.withdraw(request.attempt->link, request.attempt->tag))
      end_attempt(query, request, Outcome::never_sent);
  }
}

// ---- timers

void Manager::due(const Wake& wake) { tell(lynxstand::Woken{wake.token}); }

// The wait for an attempt ends with the client's; the module then words the final answer.
void Manager::due(const Deadline& deadline) {
  const auto it = requests_.find(deadline.query);
  it->second.deadline = timers_.end();
  if (!it->second.attempt) return;
  give_up_attempt(deadline.query, it->second, Outcome::timed_out);
}

// Guards the rule that every request is answered: whatever went wrong before, this is the last moment.
void Manager::due(const Guard& guard) {
  log_.note("a request found no answer by its deadline");
  Request& request = requests_.at(guard.query);
  request.guard = timers_.end();
  fail(request.told.session, request.told.call, "Late");
  client_left(guard.query);
}

void Manager::due(const AttemptTimer& timer) {
  const auto it = requests_.find(timer.query);
  if (it == requests_.end() || !it->second.attempt || it->second.attempt->tag != timer.tag) return;
  Attempt& attempt = *it->second.attempt;
  if (timer.outcome == Outcome::timed_out)
    return give_up_attempt(timer.query, it->second, Outcome::timed_out);
  const LinkId link = attempt.link;
  if (links_.find(link)->heard > timer.since) {  // only slow: closing it would cost all that runs there
    at(now_ + kStopConfirmed, AttemptTimer{timer.query, timer.tag, timer.outcome, now_});
    return;
  }
  engines_.close(link);
  on(LinkEnded{link, "a stop was not confirmed"});
}

void Manager::due(const Sweep&) {
  for (const LinkId link : links_.sweep(now_, directory_)) {
    engines_.close(link);
    on(LinkEnded{link, "it does not answer"});
  }
  for (const SessionId session : sessions_.overdue(now_, !accepts(now_))) close_idle(session);
  directory_.forget(now_);
  at(now_ + kSweepEvery, Sweep{});
}

// Guards the requests that a planned restart would cut off: their clients hear at once that they may ask
// elsewhere, or that it failed.
void Manager::due(const EndAll&) {
  while (!calls_.empty()) {
    const QueryId query = calls_.begin()->second;
    const Request& request = requests_.at(query);
    const auto& cls = config_.settings.classes[static_cast<std::size_t>(request.told.cls)];
    if (request.attempts == 0 || cls.repeatable == lynxstand::Repeatable::always)
      refuse(request.told.session, request.told.call, Duration{});
    else
      fail(request.told.session, request.told.call, "Leaving");
    client_left(query);
  }
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
  const auto link = links_.pick(now_, send.engine.name, *engine, request.used, now_ + config_.real.dial_time);
  if (!link) return not_sent(Outcome::unreachable);
  request.used.push_back(*link);
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
    return end_attempt(cancel.query, request, Outcome::never_sent);
  if (request.answered) return give_up_attempt(cancel.query, request, Outcome::cancelled);
  attempt.phase = Phase::stopping;
  engines_.stop(attempt.link, request.told.request_id);
  engines_.hello(attempt.link, hello_tag(attempt.tag));
  at(now_ + kStopConfirmed, AttemptTimer{cancel.query, attempt.tag, Outcome::reset, now_});
}

void Manager::act(const lynxstand::Refuse& refuse) {
  const auto it = requests_.find(refuse.query);
  if (it == requests_.end() || it->second.answered) return;
  this->refuse(it->second.told.session, it->second.told.call, refuse.come_back_after);
  close_call(it->second);
  forget_if_done(it);
}

void Manager::act(const lynxstand::Fail& fail) {
  const auto it = requests_.find(fail.query);
  if (it == requests_.end() || it->second.answered) return;
  this->fail(it->second.told.session, it->second.told.call, "Failed");
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
