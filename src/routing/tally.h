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

struct Tally {
  std::int64_t all = 0, served = 0;
  std::int64_t took_us = 0, told_us = 0;  // of the served: time at the engine, and as told on one's own there
  bool operator==(const Tally&) const = default;
};
// By area; the side left behind, then the new one.
using Tallies = std::map<policy::TableGroupId, std::pair<Tally, Tally>>;

}  // namespace yokestream::routing
