// Named situations for a whole fleet (fleet.h): what breaks when. Tests assert on them, `yokestream_standin
// fleet` prints them and measures them against the same fleet without trouble.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "standin/fleet.h"

namespace yokestream::standin {

struct FleetSituation {
  std::string name, what;
  void (*incidents)(Fleet& fleet) = nullptr;  // put on its timeline; trouble begins at second 5
  double busy_part = 0;                       // of the managers, with four times the others' traffic
};

const std::vector<FleetSituation>& fleet_situations();
const FleetSituation& fleet_situation(const std::string& name);  // throws std::out_of_range

FleetFigures play_fleet(const FleetSituation& situation, std::size_t managers, std::size_t engines,
                        std::uint64_t seed);
// Prints a table of all situations at several sizes, beside one manager that serves all. True: no rule is
// broken and each keeps its part of what that one keeps.
bool measure_fleet(std::uint64_t seed, const std::string& only = "");  // only one situation, beside calm

}  // namespace yokestream::standin
