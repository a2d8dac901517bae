// All unfinished requests, indexed by query, by the client's call and by the client's request id.
//
// Owns the requests. Invariants: a call is open exactly as long as its client is owed an answer, and only
// close_call() closes it. A request stays in the table until its attempt has ended as well (see
// forget_if_done()). Not thread-safe. Memory: one record per request, bounded by the limit on open requests.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/admission_stages.h"
#include "dispatch/dispatch_clock.h"
#include "dispatch/executed_request_ids.h"
#include "dispatch/request.h"

namespace yokestream::dispatch {

class RequestTable {
 public:
  using Requests = std::map<policy::QueryId, Request>;

  RequestTable(const DispatchClock& clock, TimerQueue& timers, AdmissionStages& stages)
      : clock_(clock), timers_(timers), stages_(stages) {}

  policy::QueryId next_query_id() { return policy::QueryId{++last_query_id_}; }
  Request& insert(policy::QueryId query, Request request);

  Request* find(policy::QueryId query);
  Request& at(policy::QueryId query) { return requests_.at(query); }
  // Returns the request if its current attempt has this tag; otherwise nullptr.
  Request* find_attempt(policy::QueryId query, AttemptTag tag);
  std::optional<policy::QueryId> find_open_call(SessionId session, CallId call) const;
  std::vector<policy::QueryId> open_calls_of(SessionId session) const;
  std::optional<policy::QueryId> first_open_call() const;
  std::size_t open_call_count() const { return open_calls_.size(); }
  bool uses_request_id(const std::string& id) const { return request_ids_in_use_.count(id) > 0; }

  // Requests that must not run twice and may have run: their ids are refused for some time after their end.
  void remember_executed(const Request& request) {
    executed_request_ids_.add(clock_.now(), request.received.request_id);
  }
  bool was_executed(const std::string& id) const { return executed_request_ids_.contains(id); }
  void forget_old_executed() {
    executed_request_ids_.forget_until(clock_.now() - ExecutedRequestIds::kRetention);
  }

  // Marks the request as answered: its client is owed no answer any more.
  void close_call(Request& request);
  // Removes a request that is answered and has no attempt, and reports its end to the admission stages.
  void forget_if_done(policy::QueryId query);

  Requests::iterator begin() { return requests_.begin(); }
  Requests::iterator end() { return requests_.end(); }
  Requests::const_iterator begin() const { return requests_.begin(); }
  Requests::const_iterator end() const { return requests_.end(); }

 private:
  using CallKey = std::pair<SessionId, CallId>;

  const DispatchClock& clock_;
  TimerQueue& timers_;
  AdmissionStages& stages_;
  Requests requests_;
  std::map<CallKey, policy::QueryId> open_calls_;
  std::set<std::string> request_ids_in_use_;
  ExecutedRequestIds executed_request_ids_;
  std::uint64_t last_query_id_ = 0;
};

}  // namespace yokestream::dispatch
