// yokestream-standin: what we play ourselves, as a program for measurements.
#include <CLI/CLI.hpp>
#include <cstdio>
#include <iostream>

#include "standin/deadline.h"
#include "standin/door_measure.h"
#include "standin/duty_measure.h"
#include "standin/fleet_situations.h"
#include "standin/growth_measure.h"
#include "standin/migration_measure.h"
#include "standin/pool.h"
#include "standin/scenarios.h"

namespace {

using namespace yokestream;

void sim(const std::string& only, std::uint64_t seeds) {
  std::printf("%-12s %-5s %7s | %6s %6s %6s | %7s %7s %7s %7s %7s | %6s %6s\n", "scenario", "seed", "judge",
              "souss", "atlas", "oasis", "flood", "in time", "refused", "failed", "unansw.", "came",
              "let in");
  for (const auto& scenario : standin::scenarios()) {
    if (!only.empty() && scenario.name != only) continue;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      using standin::Judge;
      const std::pair<const char*, Judge> variants[] = {{"alone", Judge::door},
                                                        {"nobody", Judge::nobody},
                                                        {"quotas", Judge::quotas},
                                                        {"door", Judge::door}};
      for (const auto& [name, judge] : variants) {
        const auto played = standin::play(scenario, judge, name != std::string("alone"), seed);
        std::printf("%-12s %-5llu %7s | %6.3f %6.3f %6.3f | %7llu %7llu %7llu %7llu %7llu | %6llu %6llu\n",
                    scenario.name.c_str(), static_cast<unsigned long long>(seed), name, played.ratio(0),
                    played.ratio(1), played.ratio(2), static_cast<unsigned long long>(played.flood.first),
                    static_cast<unsigned long long>(played.flood.in_time),
                    static_cast<unsigned long long>(played.flood.refused),
                    static_cast<unsigned long long>(played.flood.failed),
                    static_cast<unsigned long long>(played.flood.unanswered),
                    static_cast<unsigned long long>(played.flood.hinted_back),
                    static_cast<unsigned long long>(played.flood.hinted_in));
      }
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("yokestream-standin, engines and clients that we play ourselves");
  app.require_subcommand(1);
  std::string only;
  std::uint64_t seeds = 1;
  auto* sim_command =
      app.add_subcommand("sim", "Play situations on the virtual clock and print who was served");
  sim_command->add_option("scenario", only, "one situation; all without it");
  sim_command->add_option("--seeds", seeds, "seeds 1 to N");
  sim_command->callback([&] { sim(only, seeds); });
  std::string program;
  std::uint64_t seed = 1;
  double seconds = 100;
  int status = 0;
  auto* door_command = app.add_subcommand("door", "Measure the door on loopback");
  door_command->add_option("--program", program, "the yokestream program")->required();
  door_command->add_option("--seed", seed, "for all random numbers");
  door_command->add_option("--seconds", seconds, "for all runs together")->check(CLI::Range(20, 600));
  door_command->callback([&] { status = standin::measure_door(program, seed, seconds) ? 0 : 1; });
  std::string traffic;
  auto* queues_command =
      app.add_subcommand("queues", "Measure the queues on the virtual clock, with recorded traffic");
  queues_command->add_option("--traffic", traffic, "a CSV file")->required();
  queues_command->add_option("--seed", seed, "for all random numbers");
  queues_command->add_option("--seconds", seconds, "not used: the clock is virtual");
  queues_command->callback([&] { status = standin::measure_queues(traffic, seed) ? 0 : 1; });
  auto* fleet_command =
      app.add_subcommand("fleet", "Measure whole fleets on the virtual clock, in trouble and without");
  fleet_command->add_option("--seed", seed, "for all random numbers");
  fleet_command->add_option("--seconds", seconds, "not used: the clock is virtual");
  fleet_command->add_option("situation", only, "one situation; all without it");
  fleet_command->callback([&] { status = standin::measure_fleet(seed, only) ? 0 : 1; });
  auto* duty_command =
      app.add_subcommand("duty", "Measure owners and shares of a fleet on the virtual clock");
  duty_command->add_option("--seed", seed, "for all random numbers");
  duty_command->add_option("--seconds", seconds, "not used: the clock is virtual");
  duty_command->callback([&] { status = standin::measure_duty(seed) ? 0 : 1; });
  auto* migration_command =
      app.add_subcommand("migration", "Measure staged migrations of a fleet on the virtual clock");
  migration_command->add_option("--seed", seed, "for all random numbers");
  migration_command->add_option("--seconds", seconds, "not used: the clock is virtual");
  migration_command->callback([&] { status = standin::measure_migration(seed) ? 0 : 1; });
  standin::GrowthSettings growth;
  auto* growth_command = app.add_subcommand("growth", "Play one manager of a fleet of a given size");
  growth_command->add_option("--engines", growth.engines, "in all")->check(CLI::Range(10, 4000));
  growth_command->add_option("--managers", growth.managers, "in all")->check(CLI::Range(1, 2000));
  growth_command->add_option("--seed", growth.seed, "for all random numbers");
  growth_command->callback([&] { standin::play_growth(growth); });
  auto* demo_command =
      app.add_subcommand("demo", "Show the manager serving, with engines and clients of ours");
  demo_command->add_option("--program", program, "the yokestream program")->required();
  demo_command->callback([&] { status = standin::demo(program) ? 0 : 1; });
  CLI11_PARSE(app, argc, argv);
  return status;
}
