#include "standin/duty_measure.h"

#include <algorithm>
#include <cstdio>

#include "standin/duty_world.h"
#include "standin/fleet.h"

namespace yokestream::standin {
namespace {

using std::chrono::seconds;

constexpr int kFaultRuns = 10;
constexpr double kActsWithin = 6 * 1.01 + 1;  // seconds: a lease by the slowest clock, and one
constexpr double kMostBack = 0.05;            // of all managers, in one second after an outage
constexpr std::size_t kFleets[] = {3, 30, 300};

// Kills, stops, cuts and outages at random; none in the last minute.
DutyFigures play_faults(std::uint64_t seed, std::size_t processes, Duration length) {
  DutySettings settings;
  settings.processes = processes;
  settings.seed = seed;
  DutyWorld world(settings);
  world.troubles(std::mt19937_64(seed * 31), seconds(10), length - seconds(60), seconds(3),
                 [](std::size_t p) { return 1 + static_cast<double>(p % 7); });
  world.run(length);
  return world.figures();
}

// The owner is killed again and again; nothing else goes wrong.
std::vector<double> play_owners(std::uint64_t seed) {
  DutySettings settings;
  settings.processes = 30;
  settings.seed = seed;
  settings.slow = 0;  // a renewal that comes after its sender's end keeps the lease alive: no owner's fault
  DutyWorld world(settings);
  for (int i = 0; i < 20; ++i) {
    world.at(seconds(30 + 30 * i), [&world] {
      if (const auto owner = world.owner()) world.kill(*owner), world.start(*owner);
    });
  }
  world.run(seconds(660));
  return world.figures().vacancies;
}

struct Cost {
  double calls = 0, events = 0;  // a manager and second
};
Cost play_calm(std::uint64_t seed, std::size_t processes) {
  DutySettings settings;
  settings.processes = processes;
  settings.seed = seed;
  settings.lost = settings.replies_lost = settings.slow = 0;
  DutyWorld world(settings);
  constexpr int kFrom = 120, kTo = 420;  // the parts have settled
  for (std::size_t p = 0; p < processes; ++p)
    world.at(seconds(5), [&world, p] { world.traffic(p, p % 5 == 0 ? 40 : 10); });
  world.run(seconds(kFrom));
  const auto before = world.figures();
  world.run(seconds(kTo));
  const double all = static_cast<double>(processes) * (kTo - kFrom);
  return {static_cast<double>(world.figures().calls - before.calls) / all,
          static_cast<double>(world.figures().watch_events - before.watch_events) / all};
}

// The largest part of all processes that came back in one second after an outage.
double play_outage(std::uint64_t seed) {
  DutySettings settings;
  settings.processes = 300;
  settings.seed = seed;
  DutyWorld world(settings);
  world.at(seconds(60), [&world] { world.away(true); });
  world.at(seconds(120), [&world] { world.away(false); });
  world.run(seconds(240));
  std::size_t most = 0;
  for (const auto& [second, grants] : world.figures().grants_by_second)
    if (second >= 120) most = std::max(most, grants);
  return static_cast<double>(most) / 300;
}

double play_uneven(std::uint64_t seed, bool by_traffic) {
  FleetSettings settings;
  settings.seed = seed;
  settings.managers = 100;
  settings.engines = 60;
  settings.busy_part = 0.2;
  settings.by_traffic = by_traffic;
  Fleet fleet(settings);
  return fleet.run().kept();
}

}  // namespace

bool measure_duty(std::uint64_t seed) {
  int violations = 0;
  double most = 0;
  for (int i = 0; i < kFaultRuns; ++i) {
    const auto figures = play_faults(seed * 100 + static_cast<std::uint64_t>(i), i == 0 ? 100 : 7,
                                     seconds(i == 0 ? 300 : 1200));
    violations += !figures.violation.empty();
    most = std::max(most, figures.most_in_force);
    if (!figures.violation.empty()) std::printf("%s\n", figures.violation.c_str());
  }
  std::printf("faults: %d of %d runs broke a rule; at most %.3f of the load given out\n", violations,
              kFaultRuns, most);
  auto vacancies = play_owners(seed);
  std::sort(vacancies.begin(), vacancies.end());
  const double median = vacancies.empty() ? 99 : vacancies[vacancies.size() / 2];
  const double worst = vacancies.empty() ? 99 : vacancies.back();
  std::printf("a new owner acts after %.1f s in the median, %.1f s at worst, of %zu\n", median, worst,
              vacancies.size());
  for (const std::size_t processes : kFleets) {
    const Cost cost = play_calm(seed, processes);
    std::printf("%4zu managers: %.2f calls, %.2f watch events a manager and second\n", processes, cost.calls,
                cost.events);
  }
  const double back = play_outage(seed);
  std::printf("after an outage of 60 s at most %.3f of 300 managers come back in one second\n", back);
  const double off = play_uneven(seed, false), on = play_uneven(seed, true);
  std::printf("one manager in five has four times the traffic: kept %.3f off, %.3f on\n", off, on);
  const bool holds = violations == 0 && worst <= kActsWithin && back <= kMostBack && on >= off - 0.01;
  std::printf("duty: %s violations %d, new owner %.1f s at worst, back in a second %.3f, uneven %+.3f\n",
              holds ? "holds" : "falls short", violations, worst, back, on - off);
  return holds;
}

}  // namespace yokestream::standin
