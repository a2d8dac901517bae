// Admission control for queries on a pool of engines.
//
// Feed every event that a workload manager sees to AdmissionController::handle() and carry out the actions it
// appends, in order.
//  - Times are points on the caller's clock (nanoseconds, any origin, never backwards).
//  - The controller owns its state and nothing else: no clock, thread, file, socket or global. The same
//    settings, seed and events give the same actions.
//  - One controller may be used by one thread at a time; two share nothing.
//  - Events about queries or engines that the controller does not know are ignored.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "yokestream/policy/actions.h"
#include "yokestream/policy/events.h"
#include "yokestream/policy/learned_state.h"
#include "yokestream/policy/settings.h"

namespace yokestream::policy {

class AdmissionController {
 public:
  // Throws std::invalid_argument, naming the setting, where the settings make no sense.
  AdmissionController(const Settings& settings, std::uint64_t seed, Time now);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  // Takes one event and appends what is to be done to `actions`. `now` must not lie before that of the last
  // call. Throws std::invalid_argument for an arriving query whose class or tenant the settings do not have.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  // Engines that the list names and that get no query now: they drain, are ejected, or were saturated.
  std::size_t unavailable_engines() const;

  // What was learned so far, for another process.
  LearnedState learned_state() const;
  // Takes over what another process had learned `age` ago, on the same clock; before the first event. False,
  // and nothing changes: it does not fit the settings (another number of classes or kinds, a number that
  // makes no sense), or events have come. An engine that was started since begins as its kind.
  bool restore(const LearnedState& state, Duration age);
  // From now on this manager carries at least one over `manager_count` of the load (1 or more, else nothing
  // is defined); until then that is Settings::manager_count. For managers that come and go.
  void set_manager_count(double manager_count);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yokestream::policy
