#include "dispatch/request_table.h"

namespace yokestream::dispatch {

using policy::QueryId;

Request& RequestTable::insert(QueryId query, Request request) {
  open_calls_.emplace(CallKey{request.received.session, request.received.call}, query);
  request_ids_in_use_.insert(request.received.request_id);
  return requests_.emplace(query, std::move(request)).first->second;
}

Request* RequestTable::find(QueryId query) {
  const auto it = requests_.find(query);
  return it == requests_.end() ? nullptr : &it->second;
}

Request* RequestTable::find_attempt(QueryId query, AttemptTag tag) {
  Request* request = find(query);
  const bool current = request && request->attempt && request->attempt->tag == tag;
  return current ? request : nullptr;
}

std::optional<QueryId> RequestTable::find_open_call(SessionId session, CallId call) const {
  const auto it = open_calls_.find({session, call});
  return it == open_calls_.end() ? std::nullopt : std::optional(it->second);
}

std::vector<QueryId> RequestTable::open_calls_of(SessionId session) const {
  std::vector<QueryId> open_queries;
  for (auto it = open_calls_.lower_bound({session, 0}); it != open_calls_.end() && it->first.first == session;
       ++it)
    open_queries.push_back(it->second);
  return open_queries;
}

std::optional<QueryId> RequestTable::first_open_call() const {
  return open_calls_.empty() ? std::nullopt : std::optional(open_calls_.begin()->second);
}

void RequestTable::close_call(Request& request) {
  request.answered = true;
  open_calls_.erase({request.received.session, request.received.call});
  timers_.cancel(request.watchdog_timer);
}

void RequestTable::forget_if_done(QueryId query) {
  const auto it = requests_.find(query);
  Request& request = it->second;
  if (!request.answered || request.attempt) return;
  stages_.on_request_finished(clock_.now(), query, request.stage_outcome);
  request_ids_in_use_.erase(request.received.request_id);
  timers_.cancel(request.response_deadline_timer);
  requests_.erase(it);
}

}  // namespace yokestream::dispatch
