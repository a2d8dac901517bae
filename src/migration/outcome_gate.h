// Compares the outcomes of a migration's new side with those of its old side, as all members counted them.
//
// Pure values; any thread. Memory: eight numbers a plan.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "migration/plan.h"
#include "routing/outcome_tally.h"

namespace yokestream::migration {

using routing::OutcomeTallies;
using routing::OutcomeTally;

// Both sides of a plan as the numbers of a MemberRecord, old side first, and their sums.
std::vector<std::int64_t> tally_numbers(const OutcomeTally& old_side, const OutcomeTally& new_side);
void add_tally(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& addend, int sign);

struct Verdict {
  enum class Result { good, too_few, bad } result = Result::good;
  std::string cause;
};
// `span`: the numbers counted in one span. In a rollback the sides are exchanged.
Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool rolling_back);

}  // namespace yokestream::migration
