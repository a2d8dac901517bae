// How often this process has asked for memory on the heap; counted in yokestream-standin only.
#pragma once

#include <cstdint>

namespace yokestream::standin {

std::uint64_t allocations();

}  // namespace yokestream::standin
