// The operator's settings of the throttle. They are checked where the operator file is read (src/operator).
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::throttle {

using policy::Duration;
using policy::QueryId;
using policy::Time;

struct Settings {
  bool on = false;
  std::vector<double> weights;          // by tenant; a missing one counts as 1
  std::size_t max_queued = 4096;        // requests of all tenants; 1 to 65,536
  std::size_t max_reservations = 8192;  // of clients that were told when to come back; 1 to 65,536
  // A request is rejected if it would wait longer than this fraction of its remaining time or `max_wait`.
  double max_wait_fraction = 0.15;  // 0 to 1
  Duration max_wait = std::chrono::seconds(5);
  Duration max_retry_after = std::chrono::seconds(30);
  Duration reservation_grace = std::chrono::milliseconds(800);  // kept this long after its due time
  bool client_per_connection = false;  // true: each connection is a client; false: each address
  double reserved_fraction = 0.15;     // of the limit, only for tenants within their shares; 0 to 0.5
  double limit_multiplier = 1;         // above 1 with a scheduler: requests queued there count as in flight
  double initial_threads_per_core = 2.0;  // of the concurrency limit; 0.5 to 16
  std::uint64_t seed = 0;
};

}  // namespace yokestream::throttle
