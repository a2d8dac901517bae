// A seeded source of uniform random numbers (splitmix64). The same seed gives the same sequence everywhere.
#pragma once

#include <cstdint>

namespace yokestream::policy {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(seed) {}

  // Uniform in [0, 1).
  double next() {
    std::uint64_t bits = (state_ += 0x9e3779b97f4a7c15ull);
    bits = (bits ^ (bits >> 30)) * 0xbf58476d1ce4e5b9ull;
    bits = (bits ^ (bits >> 27)) * 0x94d049bb133111ebull;
    return static_cast<double>((bits ^ (bits >> 31)) >> 11) * 0x1.0p-53;
  }

 private:
  std::uint64_t state_;
};

}  // namespace yokestream::policy
