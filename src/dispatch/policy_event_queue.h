// FIFO queue of events for the decision module. The module handles one event at a time; events that its own
// actions cause are appended and handled afterwards. Owns the events. Not thread-safe.
#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

class PolicyEventQueue {
 public:
  // Constructs the event in place: moving a temporary variant makes g++ warn about alternatives that the
  // variant does not hold.
  template <class E>
  void push(E event) {
    events_.emplace_back(std::in_place_type<E>, std::move(event));
  }
  // Removes and returns the oldest event; nullopt if the queue is empty.
  std::optional<policy::Event> pop() {
    if (events_.empty()) return std::nullopt;
    std::optional<policy::Event> event(std::move(events_.front()));
    events_.pop_front();
    return event;
  }

 private:
  std::deque<policy::Event> events_;
};

}  // namespace yokestream::dispatch
