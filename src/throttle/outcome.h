// What the stations hear of a request that is over.
#pragma once

#include <optional>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::throttle {

struct Outcome {
  bool executed = false;            // did any engine work for it?
  policy::Duration latency{};       // from passing to the answer; zero: it was not served
  double measured_work_s = 0;       // the work that the engine told, in seconds of one core; 0: not told
  bool rejected_by_policy = false;  // the module turned it away

  bool served() const { return latency > policy::Duration{}; }
  // What it cost, in seconds of one core, where `taken` was what it was taken to cost.
  double actual_cost_s(double estimated_cost_s) const {
    return measured_work_s > 0 ? measured_work_s : executed ? estimated_cost_s : 0;
  }
};

// A request that is over, in a station that keeps `waits` (by query: its `ref` in `queue`) and `in` (by
// query: what it was let in as). Where it waited it is forgotten; what it was let in as is taken out and
// returned. Nothing: it waited, or the station never knew it.
template <class Waits, class Queue, class Ins>
std::optional<typename Ins::mapped_type> remove_finished(Waits& waits, Queue& queue, Ins& in,
                                                         const typename Ins::key_type& query) {
  if (const auto it = waits.find(query); it != waits.end()) {
    queue.remove(it->second.ref);
    waits.erase(it);
    return std::nullopt;
  }
  const auto it = in.find(query);
  if (it == in.end()) return std::nullopt;
  auto out = std::move(it->second);
  in.erase(it);
  return out;
}

}  // namespace yokestream::throttle
