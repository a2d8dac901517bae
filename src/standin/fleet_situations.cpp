#include "standin/fleet_situations.h"

#include <cstdio>
#include <stdexcept>

namespace yokestream::standin {
namespace {

using std::chrono::seconds;

constexpr Duration kTrouble = seconds(5);
constexpr double kKeepsOfCalm = 0.8;  // what a fleet in trouble keeps of what it keeps without
constexpr std::pair<std::size_t, std::size_t> kSizes[] = {{100, 60}, {300, 80}};

}  // namespace

const std::vector<FleetSituation>& fleet_situations() {
  static const std::vector<FleetSituation> all = {
      {"calm", "no fault", nullptr, 0},
      {"uneven", "one manager in five has four times the others' traffic", nullptr, 0.2},
      {"join", "six in ten engines are replaced by cold ones within 7 s",
       [](Fleet& f) { f.at(kTrouble, [&f] { f.replace(0.6, seconds(7)); }); }, 0},
      {"late", "the same, and two managers in five hear of no change",
       [](Fleet& f) { f.at(kTrouble, [&f] { f.deafen(0.4), f.replace(0.6, seconds(7)); }); }, 0},
      {"herd", "seven in ten managers are killed at once",
       [](Fleet& f) { f.at(kTrouble, [&f] { f.kill(0.7); }); }, 0},
      {"slow", "one engine in eight is five times as slow",
       [](Fleet& f) { f.at(kTrouble, [&f] { f.slow(0.125, 5); }); }, 0},
      {"silent", "a fifth of the engines fall silent for 6 s",
       [](Fleet& f) { f.at(kTrouble, [&f] { f.silence(0.2, seconds(6)); }); }, 0},
  };
  return all;
}

const FleetSituation& fleet_situation(const std::string& name) {
  for (const auto& situation : fleet_situations()) {
    if (situation.name == name) return situation;
  }
  throw std::out_of_range("no situation " + name);
}

FleetFigures play_fleet(const FleetSituation& situation, std::size_t managers, std::size_t engines,
                        std::uint64_t seed) {
  FleetSettings settings;
  settings.managers = managers;
  settings.engines = engines;
  settings.busy_part = situation.busy_part;
  settings.seed = seed;
  Fleet fleet(settings);
  if (situation.incidents) situation.incidents(fleet);
  return fleet.run();
}

bool measure_fleet(std::uint64_t seed, const std::string& only) {
  std::printf("%-8s %9s | %6s %6s %6s | %7s %7s %7s %7s | %6s %6s %6s %5s\n", "", "size", "kept", "5-15 s",
              "calm", "asked", "late", "refused", "failed", "shakes", "most", "cold", "tips");
  bool holds = true;
  double least = 1;
  for (const auto& [managers, engines] : kSizes) {
    double calm = 1;
    for (const auto& situation : fleet_situations()) {
      if (situation.incidents && !only.empty() && situation.name != only) continue;
      const auto all = play_fleet(situation, managers, engines, seed);
      std::uint64_t late = 0, refused = 0, failed = 0;
      for (const auto& s : all.seconds) late += s.late, refused += s.refused, failed += s.failed;
      if (!situation.incidents && situation.busy_part == 0) calm = all.kept();  // the first of them
      const double part = all.kept() / calm;
      std::printf("%-8s %4zux%-4zu | %6.3f %6.3f %6.3f | %7llu %7llu %7llu %7llu | %6.3f %6zu %6.2f %5zu\n",
                  situation.name.c_str(), managers, engines, all.kept(), all.kept(5, 15), part,
                  static_cast<unsigned long long>(all.asked()), static_cast<unsigned long long>(late),
                  static_cast<unsigned long long>(refused), static_cast<unsigned long long>(failed),
                  static_cast<double>(all.handshakes) / static_cast<double>(all.asked()),
                  all.most_connections, all.cold_could > 0 ? all.cold_work / all.cold_could : 0, all.tipped);
      least = std::min(least, part);
      holds = holds && part >= kKeepsOfCalm && all.unanswered == 0 && all.answered_twice == 0 &&
              all.loads_run_twice == 0 && all.sends_to_gone == 0 && all.tipped == 0;
    }
  }
  std::printf("fleet: %s least %.2f of what it keeps without trouble (%.2f wanted), rules %s\n",
              holds ? "holds" : "falls short", least, kKeepsOfCalm, holds ? "kept" : "or share not kept");
  return holds;
}

}  // namespace yokestream::standin
