// Whole fleets on the virtual clock (src/standin/fleet.h): hundreds of cores round one set of engine models.
// In each situation the rules hold over the whole fleet, and most of the worth is served.
#include <doctest/doctest.h>

#include "standin/fleet_situations.h"

namespace yokestream::test {
namespace {

using standin::fleet_situation;
using standin::FleetFigures;
using standin::play_fleet;

void check_rules(const FleetFigures& figures) {
  CHECK(figures.unanswered == 0);
  CHECK(figures.answered_twice == 0);
  CHECK(figures.loads_run_twice == 0);
  CHECK(figures.sends_to_gone == 0);
  CHECK(figures.tipped == 0);
}

// Each engine serves all managers, and each manager keeps a link or two to it at most.
void check_connections(const FleetFigures& figures, std::size_t managers) {
  CHECK(figures.most_connections < 2 * managers);
  CHECK(static_cast<double>(figures.handshakes) < 0.7 * static_cast<double>(figures.asked()));
}

TEST_CASE(
    "100 managers and 60 engines: calm, uneven, killed, slow and silent, the rules hold and most is served") {
  for (const auto& [name, least] :
       {std::pair("calm", 0.95), std::pair("uneven", 0.95), std::pair("herd", 0.93), std::pair("slow", 0.92),
        std::pair("silent", 0.92)}) {
    const std::string situation = name;
    CAPTURE(situation);
    const auto figures = play_fleet(fleet_situation(name), 100, 60, 1);
    check_rules(figures);
    check_connections(figures, 100);
    CHECK(figures.kept() > least);
  }
}

TEST_CASE("six in ten engines come back cold: none is pushed over, and the cold ones are used") {
  const auto figures = play_fleet(fleet_situation("join"), 100, 60, 1);
  check_rules(figures);
  check_connections(figures, 100);
  CHECK(figures.kept(5, 15) > 0.85);
  CHECK(figures.cold_work > 0.2 * figures.cold_could);
}

TEST_CASE("the same, and two managers in five hear nothing of it") {
  const auto figures = play_fleet(fleet_situation("late"), 100, 60, 1);
  check_rules(figures);
  CHECK(figures.kept() > 0.8);
}

TEST_CASE("300 managers and 80 engines, six in ten replaced: none is pushed over") {
  const auto figures = play_fleet(fleet_situation("join"), 300, 80, 1);
  check_rules(figures);
  CHECK(figures.kept() > 0.8);
}

}  // namespace
}  // namespace yokestream::test
