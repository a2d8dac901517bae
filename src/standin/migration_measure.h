// What staged migrations cost and keep, on the virtual clock: for measure/migration.
#pragma once

#include <cstdint>

namespace yokestream::standin {

// Prints figures and a last line that says whether they hold.
bool measure_migration(std::uint64_t seed);

}  // namespace yokestream::standin
