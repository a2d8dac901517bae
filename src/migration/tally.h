// Whether the new side of what moves does as well as the one left behind, by what all edges counted.
//
// Pure values; any thread. Memory: eight numbers a plan.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "migration/plan.h"
#include "routing/tally.h"

namespace yokestream::migration {

using routing::OutcomeTallies;
using routing::OutcomeTally;

// Both sides of a plan as the numbers that a fact carries, and their sums.
std::vector<std::int64_t> numbers(const OutcomeTally& left, const OutcomeTally& taken);
void add(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& more, int sign);

struct Verdict {
  enum class Result { good, too_few, bad } result = Result::good;
  std::string cause;
};
// `span`: the numbers of one span. `back`: on the way back the sides change places.
Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool back);

}  // namespace yokestream::migration
