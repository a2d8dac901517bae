// Named situations for the virtual pool (world.h): what the members ask for, who floods how, what breaks
// when. Tests assert on them, `yokestream-standin sim` prints them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "standin/world.h"

namespace yokestream::standin {

struct Scenario {
  std::string name, what;
  std::vector<Load> flood;  // beside everybody's usual traffic
  double usual = 0.6;       // of the engines' capacity that the usual traffic asks for
  Duration length = std::chrono::seconds(40);
  std::function<void(World& world)> incidents = {};  // put on its timeline
};

const std::vector<Scenario>& scenarios();
const Scenario& scenario(const std::string& name);  // throws std::out_of_range

struct Played {
  std::vector<Service> usual;  // by member and class: member * 2 + (0: lookups, 1: reports)
  Service flood;               // all floods together
  std::optional<throttle::Metrics> door;
  double ratio(std::size_t member) const;  // worth served in time over worth asked for, of its usual traffic
};
// `flooded` false: the same usual traffic alone, for comparison.
enum class Judge { nobody, quotas, door };  // who keeps the shares: quotas in the module, or the door
Played play(const Scenario& scenario, Judge judge, bool flooded, std::uint64_t seed);

}  // namespace yokestream::standin
