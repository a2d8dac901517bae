// Admission control for queries on a pool of engines.
//
// Pass every event that a workload manager sees to AdmissionController::handle() and carry out the actions
// that it appends, in order.
//  - Times are points on the caller's clock in nanoseconds, which has any origin and never goes backwards.
//  - The controller is deterministic: it uses no clock, thread, file, socket or global state, so the same
//    settings, seed and events give the same actions.
//  - A controller is not thread-safe. Separate controllers share no state.
//  - Events about unknown queries or engines are ignored.
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
  // Throws std::invalid_argument, with the name of the setting, if the settings are invalid.
  AdmissionController(const Settings& settings, std::uint64_t seed, Time now);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`. `now` must not be earlier than in the
  // previous call. Throws std::invalid_argument if a query arrives whose class or tenant is not configured.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  // Number of listed engines that currently receive no queries: draining, ejected, or backing off after they
  // shed a query.
  std::size_t unavailable_engines() const;

  // Snapshot of the learned estimates, for a process that takes over from this one.
  LearnedState learned_state() const;
  // Restores a snapshot that another process took `age` ago on the same clock. Must be called before the
  // first event. Returns false and changes nothing if an event was already handled or the snapshot does not
  // fit the settings (different number of classes or kinds, or an invalid number). An engine that has
  // restarted since the snapshot starts with the estimates of its kind.
  bool restore(const LearnedState& state, Duration age);
  // Updates the number of managers that share the engines, initially Settings::manager_count. This manager
  // assumes that it carries at least 1 / `manager_count` of the load. Behavior is undefined below 1.
  void set_manager_count(double manager_count);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yokestream::policy
