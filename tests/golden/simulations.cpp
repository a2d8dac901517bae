// The streams of the simulations, played small.
#include <chrono>
#include <random>

#include "base/csv.h"
#include "line_hash.h"
#include "standin/deadline.h"
#include "standin/duty_world.h"
#include "standin/fleet.h"
#include "standin/scenarios.h"

namespace yokestream::golden {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::string name_of(const std::string& what, std::uint64_t seed) { return what + "-" + std::to_string(seed); }

Golden fleet_stream(std::uint64_t seed) {
  LineHash hash;
  standin::FleetSettings settings;
  settings.managers = 12;
  settings.engines = 10;
  settings.length = seconds(8);
  settings.busy_part = 0.25;
  settings.by_traffic = seed == 2;
  settings.seed = seed;
  settings.trace = [&hash](std::string_view line) { hash.add(line); };
  standin::Fleet fleet(settings);
  fleet.at(seconds(2), [&fleet] { fleet.replace(0.5, seconds(2)); });
  fleet.at(seconds(3), [&fleet] { fleet.kill(0.25); });
  fleet.at(seconds(4), [&fleet] { fleet.silence(0.2, seconds(2)); });
  fleet.at(seconds(5), [&fleet] { fleet.slow(0.2, 4); });
  fleet.run();
  return hash.result(name_of("fleet", seed));
}

Golden pool_stream(const std::string& scenario, standin::Judge judge, std::uint64_t seed) {
  LineHash hash;
  standin::Scenario traced = standin::scenario(scenario);
  traced.length = seconds(20);
  const auto incidents = traced.incidents;
  traced.incidents = [&hash, incidents](standin::World& world) {
    world.trace = [&hash](std::string_view line) { hash.add(line); };
    if (incidents) incidents(world);
  };
  standin::play(traced, judge, true, seed);
  return hash.result(name_of("sim-" + scenario, seed));
}

Golden coordination_stream(std::uint64_t seed) {
  LineHash hash;
  standin::DutySettings settings;
  settings.processes = 4 + seed;
  settings.seed = seed;
  settings.trace = [&hash](std::string_view line) { hash.add(line); };
  standin::DutyWorld world(settings);
  world.troubles(std::mt19937_64(seed), seconds(10), seconds(240), seconds(3),
                 [](std::size_t p) { return 1 + static_cast<double>(p % 7); });
  world.all_well(seconds(240));
  world.run(seconds(300));
  return hash.result(name_of("duty", seed));
}

migration::Plan chain_plan() {
  migration::Plan plan;
  plan.name = "south";
  plan.origins["old"].zones = {"a"};
  plan.origins["new"].zones = {"b"};
  for (std::size_t area = 1; area <= 6; ++area) {
    plan.moves.push_back({standin::TableGroupId{area}, "old", "new", {}});
    if (area > 2) plan.moves.back().after = {standin::TableGroupId{area - 2}};
  }
  plan.stages = {{0.3, 0.5, seconds(3)}, {1, 1, seconds(3)}};
  plan.gate.emplace();
  plan.on_fail = migration::OnFail::roll_back;
  return plan;
}

Golden migration_stream(std::uint64_t seed) {
  LineHash hash;
  standin::DutySettings settings;
  settings.processes = 5;
  settings.seed = seed;
  settings.edges.areas = 6;
  settings.edges.every = milliseconds(200);
  settings.edges.bad = seed == 3 ? 0.3 : 0;
  settings.trace = [&hash](std::string_view line) { hash.add(line); };
  standin::DutyWorld world(settings);
  world.at(seconds(30), [&world] { world.propose(chain_plan()); });
  if (seed == 2)
    world.troubles(std::mt19937_64(seed), seconds(35), seconds(120), seconds(6),
                   [](std::size_t) { return 1.0; });
  world.all_well(seconds(120));
  world.run(seconds(220));
  return hash.result(name_of("migration", seed));
}

}  // namespace

std::vector<Golden> fleet_streams() {
  std::vector<Golden> out;
  for (const auto seed : kSeeds) out.push_back(fleet_stream(seed));
  return out;
}

std::vector<Golden> pool_streams() {
  std::vector<Golden> out;
  for (const auto seed : kSeeds) {
    out.push_back(pool_stream("engines", standin::Judge::door, seed));
    out.push_back(pool_stream("at_hint", standin::Judge::quotas, seed));
    out.push_back(pool_stream("leave", standin::Judge::nobody, seed));
  }
  return out;
}

std::vector<Golden> queue_streams(const std::string& traffic_path) {
  const auto traffic = standin::read_traffic(csv::read_file(traffic_path));
  std::vector<Golden> out;
  for (const auto seed : kSeeds) {
    LineHash hash;
    standin::DeadlinePlay play;
    play.seed = seed;
    play.scale = 0.25;
    play.engines = 4;
    play.door = seed == 2;
    play.bad_plan_times = seed == 3 ? 5 : 1;
    play.length = seconds(seed == 2 ? 60 : 40);
    play.incidents = [&hash](standin::World& world) {
      world.trace = [&hash](std::string_view line) { hash.add(line); };
      world.at(seconds(25), [&world] { world.kill(0); });
      world.at(seconds(28), [&world] { world.revive(0); });
    };
    standin::play_deadline(traffic, play);
    out.push_back(hash.result(name_of("queues", seed)));
  }
  return out;
}

std::vector<Golden> coordination_streams() {
  std::vector<Golden> out;
  for (const auto seed : kSeeds) out.push_back(coordination_stream(seed));
  return out;
}

std::vector<Golden> migration_streams() {
  std::vector<Golden> out;
  for (const auto seed : kSeeds) out.push_back(migration_stream(seed));
  return out;
}

}  // namespace yokestream::golden
