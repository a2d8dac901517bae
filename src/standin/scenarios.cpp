#include "standin/scenarios.h"

#include <stdexcept>

#include "standin/pool.h"

namespace yokestream::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCores = 4;
constexpr std::size_t kEngines = 4;
constexpr double kCapacity = kCores * kEngines;                             // seconds of work a second
constexpr double kLookupWork = 0.14, kReportWork = 1.2, kReportPart = 0.5;  // of the work asked for
constexpr std::size_t kSouss = 0, kAtlas = 1, kOasis = 2;
constexpr double kFloodTimes = 10;  // times its share

// A flood of lookups by one member at ten times its share of the engines.
Load flood_of(std::size_t member) {
  Load flood;
  flood.member = member;
  flood.cls = kLookup;
  flood.work = kLookupWork;
  flood.per_s = kFloodTimes * kShares[member] * kCapacity / kLookupWork;
  flood.clients = 40;
  flood.from = seconds(10);
  flood.until = seconds(30);
  return flood;
}

template <class Change>
Load changed(std::size_t member, Change change) {
  Load flood = flood_of(member);
  change(flood);
  return flood;
}

std::vector<Scenario> make() {
  std::vector<Scenario> out;
  const auto add = [&](const char* name, const char* what, std::vector<Load> flood, auto... rest) {
    out.push_back({name, what, std::move(flood), rest...});
  };
  const auto length = seconds(40);
  add("sudden", "oasis-gaz at ten times its share, at once", {flood_of(kOasis)});
  add("ramp", "the same, rising from nothing over 20 s", {changed(kOasis, [](Load& l) { l.ramp = true; })});
  add("two", "oasis-gaz and atlas-distrib flood together",
      {flood_of(kOasis), changed(kAtlas, [](Load& l) { l.per_s *= 0.4; })});
  add("reports", "the flood asks for reports", {changed(kOasis, [](Load& l) {
        l.cls = kReport, l.work = kReportWork, l.per_s *= kLookupWork / kReportWork;
        l.patience = seconds(25), l.memory = 256;
      })});
  add("connections", "each request of the flood comes over a new connection",
      {changed(kOasis, [](Load& l) { l.new_connections = true, l.clients = 10; })});
  add("low", "the flood's estimates are ten times too low",
      {changed(kOasis, [](Load& l) { l.told_times = 0.1; })});
  add("at_once", "the flood's clients ask again at once when refused",
      {changed(kOasis, [](Load& l) { l.retry = Retry::at_once, l.clients = 100'000; })});
  add("own_wait", "they ask again after a wait of their own",
      {changed(kOasis, [](Load& l) { l.retry = Retry::own_wait, l.clients = 100'000; })});
  add("at_hint", "they come back when told",
      {changed(kOasis, [](Load& l) { l.retry = Retry::at_hint, l.most_tries = 4, l.clients = 100'000; })});
  add("leavers", "the flood's clients give up after 200 ms",
      {changed(kOasis, [](Load& l) { l.give_up = milliseconds(200); })});
  add("engines", "half the engines die in the flood and return cold", {flood_of(kOasis)}, 0.35, length,
      [](World& world) {
        world.at(seconds(15), [&world] { world.kill(0), world.kill(1); });
        world.at(seconds(22), [&world] { world.revive(0), world.revive(1); });
      });
  add("slow", "all engines slow down by 2.5 times for 8 s in the flood", {flood_of(kOasis)}, 0.35, length,
      [](World& world) {
        world.at(seconds(15), [&world] { world.slow_all(2.5); });
        world.at(seconds(23), [&world] { world.slow_all(1); });
      });
  add("leave", "the manager is told to leave while the door holds requests", {flood_of(kOasis)}, 0.6, length,
      [](World& world) { world.at(seconds(20), [&world] { world.leave(); }); });
  add("shares", "shares are edited in the flood: oasis-gaz gets most", {flood_of(kOasis)}, 0.3, length,
      [](World& world) {
        world.at(seconds(20), [&world] {
          throttle::Settings door;
          door.on = true;
          door.weights = {0.1, 0.1, 0.8};
          world.configure(door);
        });
      });
  return out;
}

}  // namespace

const std::vector<Scenario>& scenarios() {
  static const std::vector<Scenario> all = make();
  return all;
}

const Scenario& scenario(const std::string& name) {
  for (const Scenario& s : scenarios()) {
    if (s.name == name) return s;
  }
  throw std::out_of_range("no scenario " + name);
}

double Played::ratio(std::size_t member) const {
  return worth_kept(usual.at(member * 2), usual.at(member * 2 + 1));
}

Played play(const Scenario& scenario, Judge judge, bool flooded, std::uint64_t seed) {
  PoolSettings pool;
  pool.cores = kCores;
  pool.seed = seed;
  pool.capacity_per_s = judge == Judge::quotas ? kCapacity / kLookupWork : 0;
  for (std::size_t i = 0; i < kEngines; ++i)
    pool.engines.push_back({"127.0.0.1", static_cast<std::uint16_t>(7001 + i)});
  config::Config config = config::decode_config(platform_config(pool));
  config.door.on = judge == Judge::door;
  config.door.weights.assign(kShares, kShares + kMembers);
  EngineSettings engine;
  engine.cores = kCores;
  engine.memory_mb = kCores * 2048;
  std::vector<Load> loads;
  for (std::size_t member = 0; member < kMembers; ++member) {
    const double work = scenario.usual * kShares[member] * kCapacity;
    Load lookups;
    lookups.member = member;
    lookups.cls = kLookup;
    lookups.work = kLookupWork;
    lookups.per_s = work * (1 - kReportPart) / kLookupWork;
    Load reports = lookups;
    reports.cls = kReport;
    reports.work = kReportWork;
    reports.per_s = work * kReportPart / kReportWork;
    reports.patience = seconds(25);
    reports.memory = 256;
    for (Load* load : {&lookups, &reports}) {
      load->until = scenario.length;
      load->retry = Retry::at_hint;
    }
    loads.push_back(lookups);
    loads.push_back(reports);
  }
  const std::size_t usual = loads.size();
  if (flooded) loads.insert(loads.end(), scenario.flood.begin(), scenario.flood.end());
  World world(config, std::vector<EngineSettings>(kEngines, engine), loads, seed);
  if (scenario.incidents) scenario.incidents(world);
  world.run(scenario.length + seconds(30));
  Played out;
  out.door = world.core().throttle_metrics();
  const auto& service = world.service();
  out.usual.assign(service.begin(), service.begin() + static_cast<std::ptrdiff_t>(usual));
  for (std::size_t i = usual; i < service.size(); ++i) {
    const Service& s = service[i];
    out.flood.first += s.first, out.flood.served += s.served, out.flood.in_time += s.in_time;
    out.flood.refused += s.refused, out.flood.failed += s.failed, out.flood.unanswered += s.unanswered;
    out.flood.tries += s.tries, out.flood.hinted_back += s.hinted_back, out.flood.hinted_in += s.hinted_in;
    out.flood.left += s.left;
  }
  return out;
}

}  // namespace yokestream::standin
