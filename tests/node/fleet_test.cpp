// Whole fleets on the virtual clock (src/standin/fleet.h): hundreds of managers that share one set of
// simulated engines. In each scenario the rules hold over the whole fleet, and most of the requests' value is
// served.
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

// Each engine serves all managers, and has fewer than two connections per manager. Connections are reused:
// there are at most 0.7 handshakes per request.
void check_connections(const FleetFigures& figures, std::size_t managers) {
  CHECK(figures.most_connections < 2 * managers);
  CHECK(static_cast<double>(figures.handshakes) < 0.7 * static_cast<double>(figures.asked()));
}

TEST_CASE("100 managers and 60 engines keep the rules and serve most requests with and without faults") {
  for (const auto& [name, min_served] :
       {std::pair("calm", 0.95), std::pair("uneven", 0.95), std::pair("herd", 0.93), std::pair("slow", 0.92),
        std::pair("silent", 0.92)}) {
    const std::string situation = name;
    CAPTURE(situation);
    const auto figures = play_fleet(fleet_situation(name), 100, 60, 1);
    check_rules(figures);
    check_connections(figures, 100);
    CHECK(figures.kept() > min_served);
  }
}

// Failure: 60 % of the engines are replaced by cold ones within 7 s, which get full load at once.
// Expected: no cold engine gets more load than it can bear, and cold engines are used while they warm up.
TEST_CASE("cold engines that replace 60 % of 60 engines are used but not overloaded") {
  const auto figures = play_fleet(fleet_situation("join"), 100, 60, 1);
  check_rules(figures);
  check_connections(figures, 100);
  CHECK(figures.kept(5, 15) > 0.85);
  CHECK(figures.cold_work > 0.2 * figures.cold_could);
}

// Failure: 60 % of the engines are replaced, and 40 % of the managers receive no membership changes.
TEST_CASE("managers that receive no membership changes don't keep the fleet from serving most requests") {
  const auto figures = play_fleet(fleet_situation("late"), 100, 60, 1);
  check_rules(figures);
  CHECK(figures.kept() > 0.8);
}

TEST_CASE("cold engines that replace 60 % of 80 engines are not overloaded by 300 managers") {
  const auto figures = play_fleet(fleet_situation("join"), 300, 80, 1);
  check_rules(figures);
  CHECK(figures.kept() > 0.8);
}

}  // namespace
}  // namespace yokestream::test
