// Requests and their deadlines: from the client's word to the one final answer.
//
// Invariants. A request is in `calls_` exactly as long as its client is owed an answer; close_call() is the
// only way out, and each caller of it says the answer, or the client wants none any more. It stays in
// `requests_` until its attempt has ended too (forget_if_done). Its guard fires a little after its deadline,
// whatever else went wrong, so that no request goes without an answer. A request that waits at the door has
// not been told to the module, so nothing of it can have run.
#include <algorithm>

#include "dispatch/dispatcher.h"

namespace yokestream::dispatch {
namespace {

using policy::QueryId;
using std::chrono::milliseconds;

constexpr Duration kGuardDelay = milliseconds(8);  // past the deadline: the module should have answered
// Guards against a late last answer on a busy core. The module words it, and takes 20 ms as close enough.
constexpr Duration kAnswerBefore = milliseconds(15);
// The same against a core or a writer that does not run for a moment: all deadlines are kept this much early,
// or by this part of the time left where that is less.
constexpr Duration kSpare = milliseconds(60);
constexpr int kSpareParts = 16;
constexpr Duration kBusyWait = milliseconds(500);  // advice to a client when this manager itself is full

Duration from_s(double s) { return Duration(static_cast<Duration::rep>(s * 1e9)); }

}  // namespace

Request* Dispatcher::open_call(SessionId session, CallId call, QueryId* query) {
  const auto it = calls_.find({session, call});
  if (it == calls_.end()) return nullptr;
  *query = it->second;
  return &requests_.at(it->second);
}

void Dispatcher::on(const SessionOpened& began) {
  if (const auto victim = sessions_.begin(now_, began.session, began.origin)) close_idle(*victim);
}

void Dispatcher::close_idle(SessionId session) {
  if (!clients_.close_if_idle(session)) sessions_.keep(session);
}

void Dispatcher::on(RequestReceived arrived) {
  const CallKey key{arrived.session, arrived.call};
  if (calls_.count(key)) {
    log_.write("a client used the number of an open request again; its connection is closed");
    clients_.close(arrived.session);
    return;
  }
  // Guards the engines, and what the module believes of them, against a client whose requests they can't use.
  if (sessions_.suspect(now_, arrived.session)) return fail(arrived, "Unusable");
  // Guards against an answer to the wrong one: engines know requests by the clients' ids alone.
  if (ids_.count(arrived.request_id)) return fail(arrived, "bad field req: in use");
  const bool full = config_.real.open_cap > 0 && calls_.size() >= config_.real.open_cap;
  if (!service_.accepts_requests(now_) || full || !sessions_.may_open(arrived.session))
    return refuse(arrived, kBusyWait);
  if (arrived.deadline <= now_) return fail(arrived, "Late");
  Reservation held;
  if (!budget_.try_reserve(held, arrived.statement.size())) return refuse(arrived, kBusyWait);
  arrived.deadline -= std::min(kSpare, (arrived.deadline - now_) / kSpareParts);
  arrived.deadline = std::min(arrived.deadline, service_.shutdown_deadline());
  const QueryId query{++last_query_};
  door::Verdict verdict;
  if (door_ && !knock(arrived, query, &verdict)) return;
  Request request;
  request.deadline = at(arrived.deadline - kAnswerBefore, Deadline{query});
  request.guard = at(arrived.deadline + kGuardDelay, Guard{query});
  calls_.emplace(key, query);
  ids_.insert(arrived.request_id);
  sessions_.opened(now_, arrived.session);
  request.told = std::move(arrived);
  request.held = std::move(held);
  requests_.emplace(query, std::move(request));
  if (verdict.ruling == door::Ruling::pass) past_door(query, verdict.cost);
}

// The module hears of it, and it is the module's from now on. `cost`: the door's estimate, corrected by
// member, for the told one, so that one member's wrong estimates do not spoil what the module believes of a
// class.
void Dispatcher::introduce(QueryId query, Request& request, double cost) {
  const RequestReceived& told = request.told;
  const routing::Route route = route_of(told);
  if (route.closed) return refuse_waiting(requests_.find(query), kBusyWait);
  policy::QueryArrived q;
  q.eligible_engines = request.eligible = eligible(route);
  q.query = query;
  q.query_class = told.query_class;
  q.tenant = told.tenant;
  q.table_group = told.table_group;
  q.memory_mb = told.memory_mb;
  q.work = told.work && cost > 0 ? from_s(cost) : told.work;
  q.time_left = told.deadline - now_;
  q.is_retry = told.is_retry;
  request.passed = now_;
  tell(q);
}

// A client that floods goes only where nothing of it is on the way: what its reader holds, what waits in the
// inbox and the answers not yet written are owed their answers first. Else it goes with a later answer.
void Dispatcher::refuse(const RequestReceived& told, Duration come_back_after) {
  const bool advise = config_.settings.may_send_retry_after;
  clients_.send_rejection(told.session, told.call,
                          advise ? std::min(come_back_after, config_.settings.max_retry_after) : Duration{});
  figures_.ended(static_cast<std::size_t>(told.query_class), figures::End::refused);
  if (sessions_.answered(now_, told.session)) close_idle(told.session);
}

void Dispatcher::fail(const RequestReceived& told, std::string_view why) {
  figures_.ended(static_cast<std::size_t>(told.query_class), figures::End::failed);
  on(BadRequest{told.session, told.call, std::string(why)});
}

void Dispatcher::on(const BadRequest& bad) {
  clients_.send_failure(bad.session, bad.call, bad.problem);
  if (sessions_.answered(now_, bad.session)) close_idle(bad.session);
}

void Dispatcher::on(const ProbeReceived& probe) {
  clients_.send_readiness(probe.session, probe.call, service_.is_ready());
  sessions_.answered(now_, probe.session);
}

void Dispatcher::on(const RequestCancelled& gave_up) {
  QueryId query{};
  if (open_call(gave_up.session, gave_up.call, &query)) client_left(query);
}

void Dispatcher::on(const SessionClosed& ended) {
  std::vector<QueryId> open;
  for (auto it = calls_.lower_bound({ended.session, 0});
       it != calls_.end() && it->first.first == ended.session; ++it)
    open.push_back(it->second);
  // Guards the finding of a cause: the client of an open request that did not leave of its own will loses it.
  if (!open.empty())
    log_.write("a client connection ended with " + std::to_string(open.size()) +
               " requests open: " + ended.cause);
  for (const QueryId query : open) client_left(query);
  sessions_.end(ended.session);
}

void Dispatcher::on(const SessionStalled& stalled) {
  sessions_.stall(stalled.session);
  finish_settled();
}

void Dispatcher::finish_settled() {
  for (const SessionId session : sessions_.settled()) clients_.close_after_responses(session);
}

// The module withdraws what is out for it; nothing is owed any more.
void Dispatcher::client_left(QueryId query) {
  const auto it = requests_.find(query);
  close_call(it->second);
  tell(policy::ClientDisconnected{query});
  forget_if_done(it);
}

void Dispatcher::close_call(Request& request) {
  request.answered = true;
  calls_.erase({request.told.session, request.told.call});
  sessions_.closed(now_, request.told.session);
  drop(request.guard);
}

void Dispatcher::forget_if_done(Requests::iterator it) {
  if (!it->second.answered || it->second.attempt) return;
  if (door_) door_->over(now_, it->first, it->second.past);
  if (queues_) queues_->over(now_, it->first, it->second.past);
  ids_.erase(it->second.told.request_id);
  drop(it->second.deadline);
  requests_.erase(it);
}

// Guards the rule that every request is answered: whatever went wrong before, this is the last moment.
void Dispatcher::due(const Guard& guard) {
  log_.write("a request found no answer by its deadline");
  Request& request = requests_.at(guard.query);
  request.guard = timers_.end();
  fail(request.told, "Late");
  client_left(guard.query);
}

void Dispatcher::act(const policy::Reject& refuse) {
  const auto it = requests_.find(refuse.query);
  if (it == requests_.end() || it->second.answered) return;
  it->second.past.refused = true;
  tally(it->second, false);
  close_call(it->second);
  this->refuse(it->second.told, refuse.retry_after);
  forget_if_done(it);
}

void Dispatcher::act(const policy::Fail& fail) {
  const auto it = requests_.find(fail.query);
  if (it == requests_.end() || it->second.answered) return;
  tally(it->second, false);
  close_call(it->second);
  this->fail(it->second.told, "Failed");
  forget_if_done(it);
}

}  // namespace yokestream::dispatch
