// Outcomes on the two sides of areas that move: of requests that may be repeated and that the module was told
// of.
//
// Counted from the start of the process, so that a lost message loses nothing. Values; one thread at a time.
// Memory: eight numbers an area with a rule.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::routing {

struct OutcomeTally {
  std::int64_t total = 0, served = 0;
  std::int64_t elapsed_us = 0,
               estimated_us = 0;  // of the served: time at the engine, and as told on one's own there
  bool operator==(const OutcomeTally&) const = default;
};
// By area; the side left behind, then the new one.
using OutcomeTallies = std::map<policy::TableGroupId, std::pair<OutcomeTally, OutcomeTally>>;

}  // namespace yokestream::routing
