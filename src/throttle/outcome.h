// What the stations hear of a request that is over.
#pragma once

#include <optional>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::throttle {

struct Outcome {
  bool ran = false;         // did any engine work for it?
  policy::Duration took{};  // from passing to the answer; zero: it was not served
  double real = 0;          // the work that the engine told, in seconds of one core; 0: not told
  bool refused = false;     // the module turned it away

  bool served() const { return took > policy::Duration{}; }
  // What it cost, in seconds of one core, where `taken` was what it was taken to cost.
  double cost(double taken) const { return real > 0 ? real : ran ? taken : 0; }
};

// A request that is over, in a station that keeps `waits` (by query: its `ref` in `queue`) and `in` (by
// query: what it was let in as). Where it waited it is forgotten; what it was let in as is taken out and
// returned. Nothing: it waited, or the station never knew it.
template <class Waits, class Queue, class Ins>
std::optional<typename Ins::mapped_type> settle(Waits& waits, Queue& queue, Ins& in,
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
