// How a request ended, as reported to the admission stages (throttle and scheduler).
#pragma once

#include <optional>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::throttle {

struct Outcome {
  bool executed = false;            // an engine has done work for it
  policy::Duration latency{};       // from its admission to the answer; zero: not served
  double measured_work_s = 0;       // core seconds as reported by the engine; 0: not reported
  bool rejected_by_policy = false;  // the decision module rejected it

  bool served() const { return latency > policy::Duration{}; }
  // Core seconds: the measured work, else the estimate if the request ran.
  double actual_cost_s(double estimated_cost_s) const {
    return measured_work_s > 0 ? measured_work_s : executed ? estimated_cost_s : 0;
  }
};

// Removes a finished request from an admission stage. `queued` holds, by query, a record with the entry's
// `ref` in `queue`; `in_flight` holds the records of admitted requests. Returns the record of an admitted
// request; nullopt if the request was queued or is not known.
template <class Queued, class Queue, class InFlight>
std::optional<typename InFlight::mapped_type> remove_finished(Queued& queued, Queue& queue,
                                                              InFlight& in_flight,
                                                              const typename InFlight::key_type& query) {
  if (const auto it = queued.find(query); it != queued.end()) {
    queue.remove(it->second.ref);
    queued.erase(it);
    return std::nullopt;
  }
  const auto it = in_flight.find(query);
  if (it == in_flight.end()) return std::nullopt;
  auto removed = std::move(it->second);
  in_flight.erase(it);
  return removed;
}

}  // namespace yokestream::throttle
