// Events that the decision module is yet to handle, in the order in which they came about. The module handles
// one at a time; what its own actions cause is appended and handled afterwards. Owns the events. One thread.
#pragma once

#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::dispatch {

class PolicyEventQueue {
 public:
  // Built in its place: a move of a temporary variant makes g++ warn of alternatives that it does not hold.
  template <class E>
  void push(E event) {
    events_.emplace_back(std::in_place_type<E>, std::move(event));
  }
  // The oldest event, removed; nullopt: none is left.
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
