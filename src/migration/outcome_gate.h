// Compares the outcomes at a migration's target with those at its source, summed over all members.
//
// Pure functions; any thread. Memory: eight numbers per plan.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "migration/plan.h"
#include "routing/outcome_tally.h"

namespace yokestream::migration {

using routing::OutcomeTallies;
using routing::OutcomeTally;

// Flattens the tallies of a plan's two sides for a MemberRecord, source first.
std::vector<std::int64_t> tally_numbers(const OutcomeTally& source, const OutcomeTally& target);
// Adds `addend`, times `sign` (1 or -1), to `sum`, which is resized to the full number of fields.
void add_tally(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& addend, int sign);

struct Verdict {
  enum class Result { good, too_few, bad } result = Result::good;
  std::string cause;
};
// `span`: the numbers counted during one stage span. In a rollback the two sides are swapped.
Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool rolling_back);

}  // namespace yokestream::migration
