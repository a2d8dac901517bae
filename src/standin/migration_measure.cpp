#include "standin/migration_measure.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

#include "standin/duty_world.h"
#include "standin/pool.h"

namespace yokestream::standin {
namespace {

using std::chrono::seconds;

constexpr double kLeastKept = 0.97;  // of the same run without a plan
constexpr double kMostLookup = 200;  // nanoseconds
constexpr std::size_t kAreas = 64;
constexpr int kFaultRuns = 20;

double in_s(Duration d) { return std::chrono::duration<double>(d).count(); }

// Areas in four chains, so that each waits for others and some go side by side.
migration::Plan plan_of(std::size_t areas, Duration hold) {
  migration::Plan plan;
  plan.name = "south";
  plan.origins["old"].zones = {"a"};
  plan.origins["new"].zones = {"b"};
  constexpr std::size_t kChains = 4;
  for (std::size_t a = 1; a <= areas; ++a) {
    plan.moves.push_back({TableGroupId{a}, "old", "new", {}});
    if (a > kChains) plan.moves.back().after = {TableGroupId{a - kChains}};
  }
  plan.stages = {{0.1, 0.1, hold}, {0.5, 0.5, hold}, {1, 1, hold}};
  return plan;
}

struct Run {
  EdgeFigures edges;
  std::string violation;
  bool ended = false;
  Duration took{};
  double kept() const {
    return static_cast<double>(edges.sent) /
           static_cast<double>(std::max<std::uint64_t>(1, edges.sent + edges.refused));
  }
};

struct Play {
  std::size_t processes = 30, areas = 8;
  bool moves = true, cut_and_kill = false, troubles = false;
  Duration hold = seconds(5), length = seconds(600);
  std::uint64_t seed = 1;
};

Run play(const Play& what) {
  DutySettings settings;
  settings.processes = what.processes;
  settings.seed = what.seed;
  settings.edges.areas = what.areas;
  settings.edges.longest = seconds(5);
  if (!what.troubles) settings.lost = settings.replies_lost = settings.slow = settings.watch_cut = 0;
  DutyWorld world(settings);
  if (what.moves) world.at(seconds(30), [&] { world.propose(plan_of(what.areas, what.hold)); });
  if (what.cut_and_kill) {
    world.at(seconds(60), [&] { world.cut(what.processes - 1, false, false); });
    world.at(seconds(90), [&] {
      if (const auto owner = world.owner()) world.kill(*owner), world.start(*owner);
    });
    world.at(seconds(150), [&] { world.cut(what.processes - 1, true, true); });
  }
  if (what.troubles) {
    world.troubles(std::mt19937_64(what.seed * 31), seconds(20), what.length / 2, seconds(3),
                   [](std::size_t) { return 1.0; });
    world.all_well(what.length / 2);
  }
  Run run;
  for (Duration until = seconds(30); until <= what.length && !run.ended; until += seconds(5)) {
    world.run(until);
    run.ended = what.moves && world.migrations().outcomes.count("south") > 0;
    run.took = until - seconds(30);
    if (!world.figures().violation.empty()) break;
  }
  if (!what.moves) world.run(what.length);
  run.edges = world.figures().edges;
  run.violation = world.figures().violation;
  return run;
}

// Nanoseconds of one lookup, of 64 areas among 1,024 and 80 engines.
double lookup_ns() {
  routing::Router routes;
  routing::RouteTable table;
  table.epoch = 1;
  table.origins = {{{"a"}, {}, {}, {}}, {{"b"}, {}, {}, {}}};
  std::vector<TableGroupId> movable;
  for (std::uint64_t a = 0; a < 1024; ++a) {
    movable.push_back(TableGroupId{a});
    if (a < kAreas)
      table.rules[TableGroupId{a * 16}] = {0, 1, routing::Rule::kTrafficBuckets / 2,
                                           routing::Rule::Loads::from};
  }
  routes.set_movable_areas(movable);
  for (int e = 0; e < 80; ++e) {
    config::Member member;
    member.uid = numbered("e", e);
    member.zone = std::string(e % 2 ? "a" : "b");
    routes.register_engine(member);
  }
  routes.install(table);
  routes.extend_lease(Time::max());
  constexpr int kTimes = 2'000'000;
  std::uint64_t moved = 0;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kTimes; ++i) {
    const TableGroupId area{static_cast<std::uint64_t>(i * 7) % 1024};
    moved += routes.route(Time{}, area, true, "0123456789abcdef").moved;
  }
  const double ns =
      std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - began).count();
  return moved > 0 ? ns / kTimes : 1e9;
}

}  // namespace

bool measure_migration(std::uint64_t seed) {
  int violations = 0, unended = 0;
  std::uint64_t sent = 0;
  for (int i = 0; i < kFaultRuns; ++i) {
    Play what;
    what.processes = 3 + static_cast<std::size_t>(i) % 6;
    what.areas = i < 2 ? kAreas : 6;
    what.hold = seconds(1);
    what.troubles = true;
    what.length = seconds(i < 2 ? 3600 : 1800);
    what.seed = seed * 100 + static_cast<std::uint64_t>(i);
    const Run run = play(what);
    violations += !run.violation.empty(), unended += !run.ended, sent += run.edges.sent;
    if (!run.violation.empty()) std::printf("%s\n", run.violation.c_str());
  }
  std::printf("faults: %d of %d runs broke a rule, %d plans did not end, of %llu requests sent\n", violations,
              kFaultRuns, unended, static_cast<unsigned long long>(sent));
  Play usual;
  usual.seed = seed;
  std::vector<double> closed;
  double least_kept = 1;
  for (const bool troubled : {false, true}) {
    Play what = usual;
    what.cut_and_kill = troubled;
    const Run moving = play(what);
    what.moves = false;
    what.length = moving.took + seconds(30);
    const Run still = play(what);
    const double kept = moving.kept() / still.kept();
    least_kept = std::min(least_kept, kept);
    for (const Duration d : moving.edges.closed) closed.push_back(in_s(d));
    std::printf("30 edges, 8 areas, %s: kept %.4f of the same run without a plan (%.4f and %.4f), %.0f s\n",
                troubled ? "one edge cut off and the owner killed" : "calm", kept, moving.kept(),
                still.kept(), in_s(moving.took));
    unended += !moving.ended;
  }
  for (const std::size_t edges : {3, 30, 300}) {
    Play what = usual;
    what.processes = edges;
    what.areas = 1;
    what.hold = seconds(0);
    const Run run = play(what);
    for (const Duration d : run.edges.closed) closed.push_back(in_s(d));
    std::printf("%3zu edges: one area through 3 stages and the switch without holds in %.0f s\n", edges,
                in_s(run.took));
  }
  std::sort(closed.begin(), closed.end());
  const double median = closed.empty() ? 99 : closed[closed.size() / 2],
               worst = closed.empty() ? 99 : closed.back();
  std::printf("loads of an area without an open side: %.1f s in the median, %.1f s at worst, of %zu\n",
              median, worst, closed.size());
  const double lookup = lookup_ns();
  std::printf("route lookup: %.0f ns\n", lookup);
  const bool holds = violations == 0 && unended == 0 && least_kept >= kLeastKept && lookup < kMostLookup;
  std::printf(
      "migration: %s violations %d, kept %.4f, without an open side %.1f s at worst, lookup %.0f ns\n",
      holds ? "holds" : "falls short", violations, least_kept, worst, lookup);
  return holds;
}

}  // namespace yokestream::standin
