// A hash over lines of text, in their order.
#pragma once

#include <cstdint>
#include <string_view>

#include "golden.h"

namespace yokestream::golden {

class LineHash {  // FNV-1a, 64 bits
 public:
  void add(std::string_view line) {
    for (const char c : line) mix(static_cast<unsigned char>(c));
    mix('\n');
    ++lines_;
  }
  Golden result(std::string name) const { return {std::move(name), hash_, lines_}; }

 private:
  void mix(unsigned char byte) { hash_ = (hash_ ^ byte) * 1099511628211ull; }

  std::uint64_t hash_ = 14695981039346656037ull;
  std::size_t lines_ = 0;
};

inline constexpr std::uint64_t kSeeds[] = {1, 2, 3};

}  // namespace yokestream::golden
