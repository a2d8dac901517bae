// What `measure/duty` prints: owners and shares on the virtual clock, with the part off as baseline.
#pragma once

#include <cstdint>

namespace yokestream::standin {

bool measure_duty(std::uint64_t seed);  // whether it holds

}  // namespace yokestream::standin
