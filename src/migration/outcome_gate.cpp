#include "migration/outcome_gate.h"

#include <algorithm>
#include <cstdio>

namespace yokestream::migration {
namespace {

constexpr std::size_t kNumbers = 8;

double ratio(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

}  // namespace

std::vector<std::int64_t> tally_numbers(const OutcomeTally& old_side, const OutcomeTally& new_side) {
  return {old_side.total, old_side.served, old_side.elapsed_us, old_side.estimated_us,
          new_side.total, new_side.served, new_side.elapsed_us, new_side.estimated_us};
}

void add_tally(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& addend, int sign) {
  sum.resize(kNumbers);
  for (std::size_t i = 0; i < std::min(kNumbers, addend.size()); ++i) sum[i] += sign * addend[i];
}

Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool rolling_back) {
  std::vector<std::int64_t> counts = span;
  counts.resize(kNumbers);
  if (rolling_back) std::rotate(counts.begin(), counts.begin() + kNumbers / 2, counts.end());
  if (counts[0] < gate.min_outcomes || counts[4] < gate.min_outcomes)
    return {Verdict::Result::too_few, std::to_string(std::min(counts[0], counts[4])) + " of " +
                                          std::to_string(gate.min_outcomes) + " outcomes on one side"};
  char text[96];
  const double old_served = ratio(counts[1], counts[0]), new_served = ratio(counts[5], counts[4]);
  if (new_served < old_served - gate.max_served_drop) {
    std::snprintf(text, sizeof text, "served %.3f, on the side left behind %.3f", new_served, old_served);
    return {Verdict::Result::bad, text};
  }
  const double old_slowdown = ratio(counts[2], counts[3]), new_slowdown = ratio(counts[6], counts[7]);
  if (old_slowdown > 0 && new_slowdown > gate.max_slowdown * old_slowdown) {
    std::snprintf(text, sizeof text, "%.2f times the predicted time, on the side left behind %.2f",
                  new_slowdown, old_slowdown);
    return {Verdict::Result::bad, text};
  }
  return {};
}

}  // namespace yokestream::migration
