// Outcomes on the two sides of what moves, and whether the new side does as well as the one left behind.
//
// Only requests that may be repeated and were answered; counted from the start of a session, so that a lost
// message loses nothing. Pure values; any thread. Memory: eight numbers a plan.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "migration/plan.h"

namespace yokestream::migration {

struct Tally {
  std::int64_t all = 0, served = 0;
  std::int64_t took_us = 0, told_us = 0;  // of the served: time at the engines, and as predicted
  bool operator==(const Tally&) const = default;
};
// By area; the side left behind, then the new one.
using Tallies = std::map<TableGroupId, std::pair<Tally, Tally>>;

// Both sides of a plan as the numbers that a fact carries, and their sums.
std::vector<std::int64_t> numbers(const Tally& left, const Tally& taken);
void add(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& more, int sign);

struct Verdict {
  enum class Word { good, too_few, bad } word = Word::good;
  std::string why;
};
// `span`: the numbers of one span. `back`: on the way back the sides change places.
Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool back);

}  // namespace yokestream::migration
