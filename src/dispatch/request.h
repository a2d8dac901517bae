// The records of a request and its attempt. Plain values, owned by the RequestTable.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/timer_queue.h"
#include "throttle/outcome.h"

namespace yokestream::dispatch {

// connecting: the attempt has no connection, and nothing was sent. cancelling: the engine has not confirmed
// the cancel yet. fetching: the query has run, and further pages of its result are being fetched.
enum class AttemptPhase { connecting, in_flight, cancelling, fetching };

struct Attempt {
  policy::AttemptNumber number{};
  std::string engine_uid;
  EngineConnectionId connection{};
  AttemptTag tag = 0;
  Time sent_at{};
  Time connect_deadline{};
  Time write_deadline{};     // from this time on no byte of the request may be written
  Time response_deadline{};  // of the engine's response
  AttemptPhase phase = AttemptPhase::in_flight;
  EngineResponse response;                     // the engine's last response
  std::map<std::uint32_t, std::string> pages;  // fetched pages after the first, by index
  Reservation memory_reservation;              // for the result
  policy::Duration elapsed{};                  // until the result arrived
};

struct Request {
  RequestReceived received;
  std::vector<EngineConnectionId> used_connections;  // by all attempts so far
  std::uint32_t requested_priority = 1;              // set by the decision module
  std::uint32_t attempt_count = 0;
  bool answered = false;  // the call is closed: the client was answered or no longer wants an answer
  std::optional<Attempt> attempt;
  Reservation memory_reservation;  // for the statement
  TimerQueue::Handle response_deadline_timer;
  TimerQueue::Handle watchdog_timer;
  Time submitted_at{};                                // to the decision module
  std::optional<policy::EngineSet> eligible_engines;  // as last reported to the decision module
  throttle::Outcome stage_outcome;                    // reported to the admission stages at the end
};

}  // namespace yokestream::dispatch
