// Counts the outcomes of idempotent requests at the source and the target of migrating areas. Only requests
// whose outcome was reported to the policy module count.
//
// Counters are cumulative since the start of the process, so that a lost report does not lose outcomes. Plain
// values. Memory: eight numbers per area with a rule.
#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::routing {

struct OutcomeTally {
  std::int64_t total = 0;
  std::int64_t served = 0;
  std::int64_t elapsed_us = 0;    // at the engine, of the served requests
  std::int64_t estimated_us = 0;  // on an idle engine, of the served requests
  bool operator==(const OutcomeTally&) const = default;
};
// By area: the source, then the target.
using OutcomeTallies = std::map<policy::TableGroupId, std::pair<OutcomeTally, OutcomeTally>>;

}  // namespace yokestream::routing
