// Random numbers of the stand-ins: splitmix64, so that a seed gives the same run everywhere.
#pragma once

#include <cstdint>

namespace yokestream::standin {

inline double draw(std::uint64_t& state) {  // in [0, 1)
  std::uint64_t z = (state += 0x9e3779b97f4a7c15ull);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

}  // namespace yokestream::standin
