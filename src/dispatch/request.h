// The records of a request and of its attempt. Plain values, owned by the RequestTable.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/timer_queue.h"
#include "throttle/outcome.h"

namespace yokestream::dispatch {

// connecting: on no connection yet, nothing has left. cancelling: the engine has yet to confirm the cancel.
// fetching: the query ran, and further pages of its result are on the way.
enum class AttemptPhase { connecting, in_flight, cancelling, fetching };

struct Attempt {
  policy::AttemptNumber number{};
  std::string engine_uid;
  EngineConnectionId connection{};
  AttemptTag tag = 0;
  Time sent_at{};
  Time connect_by{};  // a connection is up by then
  Time respond_by{};  // the engine's response is wanted by then
  AttemptPhase phase = AttemptPhase::in_flight;
  EngineResponse response;  // the engine's last word; when fetching, its body grown by the pages
  std::map<std::uint32_t, std::string> pages;
  Reservation memory_reservation;  // of the result
  policy::Duration elapsed{};      // until the result came
};

struct Request {
  RequestReceived received;
  std::vector<EngineConnectionId> used_connections;  // by its attempts so far
  std::uint32_t requested_priority = 1;              // by the decision module
  std::uint32_t attempt_count = 0;
  bool answered = false;  // the client is owed no answer any more
  std::optional<Attempt> attempt;
  Reservation memory_reservation;  // of the statement
  TimerQueue::Handle response_deadline;
  TimerQueue::Handle watchdog;
  Time submitted_at{};                                // to the decision module
  std::optional<policy::EngineSet> eligible_engines;  // as the decision module was notified last
  throttle::Outcome stage_outcome;                    // reported to the admission stages at the end
};

}  // namespace yokestream::dispatch
