#include "migration/tally.h"

#include <algorithm>
#include <cstdio>

namespace yokestream::migration {
namespace {

constexpr std::size_t kNumbers = 8;

double share(std::int64_t part, std::int64_t all) {
  return all > 0 ? static_cast<double>(part) / static_cast<double>(all) : 0;
}

}  // namespace

std::vector<std::int64_t> numbers(const OutcomeTally& left, const OutcomeTally& taken) {
  return {left.total,  left.served,  left.elapsed_us,  left.estimated_us,
          taken.total, taken.served, taken.elapsed_us, taken.estimated_us};
}

void add(std::vector<std::int64_t>& sum, const std::vector<std::int64_t>& more, int sign) {
  sum.resize(kNumbers);
  for (std::size_t i = 0; i < std::min(kNumbers, more.size()); ++i) sum[i] += sign * more[i];
}

Verdict judge(const Gate& gate, const std::vector<std::int64_t>& span, bool back) {
  std::vector<std::int64_t> n = span;
  n.resize(kNumbers);
  if (back) std::rotate(n.begin(), n.begin() + kNumbers / 2, n.end());
  if (n[0] < gate.min_outcomes || n[4] < gate.min_outcomes)
    return {Verdict::Result::too_few, std::to_string(std::min(n[0], n[4])) + " of " +
                                          std::to_string(gate.min_outcomes) + " outcomes on one side"};
  char text[96];
  const double was = share(n[1], n[0]), is = share(n[5], n[4]);
  if (is < was - gate.max_served_drop) {
    std::snprintf(text, sizeof text, "served %.3f, on the side left behind %.3f", is, was);
    return {Verdict::Result::bad, text};
  }
  const double slow_was = share(n[2], n[3]), slow_is = share(n[6], n[7]);
  if (slow_was > 0 && slow_is > gate.max_slowdown * slow_was) {
    std::snprintf(text, sizeof text, "%.2f times the predicted time, on the side left behind %.2f", slow_is,
                  slow_was);
    return {Verdict::Result::bad, text};
  }
  return {};
}

}  // namespace yokestream::migration
