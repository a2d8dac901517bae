// One manager of a fleet at a given size: the same traffic for it whatever the number of engines and
// managers, on the virtual clock. Its work is counted from outside, in instructions.
#pragma once

#include <cstdint>

namespace yokestream::standin {

struct GrowthSettings {
  std::size_t engines = 80, managers = 300;
  double requests_per_s = 20;
  std::uint64_t seed = 1;
};
// Plays half a minute in which six in ten engines are replaced, and prints what it took.
void play_growth(const GrowthSettings& settings);

}  // namespace yokestream::standin
