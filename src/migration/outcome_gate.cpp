#include "migration/outcome_gate.h"

#include <algorithm>
#include <cstdio>

namespace yokestream::migration {
namespace {

constexpr std::size_t kTallyFields = 8;

double ratio(std::int64_t part, std::int64_t whole) {
  return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
}

}  // namespace

std::vector<std::int64_t> tally_numbers(const OutcomeTally& source, const OutcomeTally& target) {
  return {source.total, source.served, source.elapsed_us, source.estimated_us,
          target.total, target.served, target.elapsed_us, target.estimated_us};
}

void add_tally(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& addend, int sign) {
  sum.resize(kTallyFields);
  for (std::size_t i = 0; i < std::min(kTallyFields, addend.size()); ++i) sum[i] += sign * addend[i];
}

Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool rolling_back) {
  std::vector<std::int64_t> counts = span;
  counts.resize(kTallyFields);
  if (rolling_back) std::rotate(counts.begin(), counts.begin() + kTallyFields / 2, counts.end());
  if (counts[0] < gate.min_outcomes || counts[4] < gate.min_outcomes)
    return {Verdict::Result::too_few, std::to_string(std::min(counts[0], counts[4])) + " of " +
                                          std::to_string(gate.min_outcomes) + " outcomes on one side"};
  char text[96];
  const double source_served = ratio(counts[1], counts[0]), target_served = ratio(counts[5], counts[4]);
  if (target_served < source_served - gate.max_served_drop) {
    std::snprintf(text, sizeof text, "served %.3f, on the side left behind %.3f", target_served,
                  source_served);
    return {Verdict::Result::bad, text};
  }
  const double source_slowdown = ratio(counts[2], counts[3]), target_slowdown = ratio(counts[6], counts[7]);
  if (source_slowdown > 0 && target_slowdown > gate.max_slowdown * source_slowdown) {
    std::snprintf(text, sizeof text, "%.2f times the predicted time, on the side left behind %.2f",
                  target_slowdown, source_slowdown);
    return {Verdict::Result::bad, text};
  }
  return {};
}

}  // namespace yokestream::migration
