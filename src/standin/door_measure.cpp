#include "standin/door_measure.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <memory>
#include <vector>

#include "net/clock.h"
#include "standin/allocations.h"
#include "standin/engine_server.h"
#include "standin/load_client.h"
#include "standin/pool.h"
#include "standin/served_program.h"
#include "throttle/throttle.h"

namespace yokestream::standin {
namespace {

using std::chrono::milliseconds;

constexpr double kCores = 4;
constexpr std::size_t kEngines = 4;
constexpr double kCapacity = kCores * kEngines, kUsual = 0.5;
constexpr double kLookupWork = 0.14, kReportWork = 1.2;
constexpr std::size_t kOasis = 2;
constexpr double kFloodTimes = 10;
constexpr Duration kFloodFrom = std::chrono::seconds(4);

struct Run {
  double ratio[kMembers] = {};
  Service heeding, ignoring;
  double first_mb = 0, last_mb = 0, processor = 0;
  std::uint64_t faults = 0;  // answers that came twice, loads that ran twice
};

// `flood_until` zero: none. The run ends with the usual traffic.
Run run(const std::string& program, bool door_on, Duration flood_until, Duration usual_until,
        std::uint64_t seed) {
  std::vector<std::unique_ptr<EngineServer>> engines;
  PoolSettings pool;
  pool.cores = kCores;
  pool.capacity_per_s = 0;  // no quotas: the door is the judge of shares, or nobody is
  pool.sockets = 1024;
  pool.memory_mb = 128;
  for (std::size_t i = 0; i < kEngines; ++i) {
    EngineSettings settings;
    settings.cores = kCores;
    settings.memory_mb = kCores * 2048;
    settings.seed = seed + i;
    engines.push_back(std::make_unique<EngineServer>(settings));
    pool.engines.push_back(engines.back()->endpoint());
  }
  ServedProgram served(program, platform_config(pool), door_on ? "{door: {on: true}}" : "");
  std::vector<std::unique_ptr<LoadClient>> clients;
  const auto add = [&](const Load& load) {
    clients.push_back(
        std::make_unique<LoadClient>(served.endpoint(), load, clients.size(), seed * 100 + clients.size()));
  };
  for (std::size_t member = 0; member < kMembers; ++member) {
    const double work = kUsual * kShares[member] * kCapacity;
    Load load;
    load.member = member;
    load.until = usual_until;
    load.retry = Retry::at_hint;
    load.cls = kLookup, load.work = kLookupWork, load.per_s = work / 2 / kLookupWork;
    add(load);
    load.cls = kReport, load.work = kReportWork, load.per_s = work / 2 / kReportWork;
    load.patience = std::chrono::seconds(25), load.memory = 256;
    add(load);
  }
  const std::size_t usual = clients.size();
  if (flood_until > Duration{}) {
    // Half of the flood's clients come back when told, half at once; 60,000 addresses, a connection a try.
    for (const Retry retry : {Retry::at_hint, Retry::at_once}) {
      Load flood;
      flood.member = kOasis;
      flood.work = kLookupWork;
      flood.per_s = kFloodTimes * kShares[kOasis] * kCapacity / kLookupWork / 2;
      flood.clients = 30'000;
      flood.new_connections = true;
      flood.retry = retry;
      flood.most_tries = 4;
      flood.from = kFloodFrom, flood.until = flood_until;
      add(flood);
    }
  }
  Run out;
  std::vector<double> resident;
  const Time end = net::now() + usual_until;
  while (net::now() < end) {
    ::usleep(250'000);
    resident.push_back(served.resident_mb());
  }
  const auto third = static_cast<std::ptrdiff_t>(resident.size() / 3);
  out.first_mb = *std::max_element(resident.begin() + third / 2, resident.begin() + third);
  out.last_mb = *std::max_element(resident.end() - third, resident.end());
  out.processor = served.processor_seconds();
  std::vector<Service> services;
  for (auto& client : clients) {
    services.push_back(client->wait());
    out.faults += services.back().answers_twice;
  }
  for (std::size_t member = 0; member < kMembers; ++member)
    out.ratio[member] = worth_kept(services[member * 2], services[member * 2 + 1]);
  if (services.size() > usual) out.heeding = services[usual], out.ignoring = services[usual + 1];
  for (auto& engine : engines) out.faults += engine->loads_run_twice();
  return out;
}

void print(const char* name, const Run& r) {
  std::printf("%-22s %7.3f %7.3f %7.3f | %7.1f %7.1f | %6.2f\n", name, r.ratio[0], r.ratio[1], r.ratio[2],
              r.first_mb, r.last_mb, r.processor);
}

struct Cost {
  double microseconds = 0, allocations = 0;
};
// A door with 10,000 waiting, each from an address of its own: one arrives, one ends, one goes.
Cost cost_of_a_decision(std::uint64_t seed) {
  throttle::Settings settings;
  settings.on = true;
  settings.max_queued = 12'000;
  settings.max_wait = std::chrono::hours(1);
  settings.max_wait_fraction = 1;
  settings.seed = seed;
  throttle::Throttle door(settings, kMembers, 3);
  door.set_cores(16);
  Time now{std::chrono::seconds(1000)};
  std::uint64_t last = 0;
  std::deque<policy::QueryId> in;
  const auto arrive = [&] {
    throttle::Arrival a;
    a.query = policy::QueryId{++last};
    a.tenant = last % kMembers, a.client = last * 7919, a.estimated_work_s = 0.1;
    a.deadline = now + std::chrono::hours(2);
    if (door.offer(now, a).decision == throttle::Decision::admit) in.push_back(a.query);
  };
  while (door.metrics().queue_length < 10'000) arrive();
  constexpr int kWarm = 20'000, kRounds = 100'000;
  std::uint64_t allocated = 0;
  auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kWarm + kRounds; ++i) {
    if (i == kWarm) allocated = allocations(), began = std::chrono::steady_clock::now();
    now += std::chrono::microseconds(6000);
    if (!in.empty())
      door.on_request_finished(now, in.front(), {true, milliseconds(100), 0.1, false}), in.pop_front();
    while (const auto moved = door.next_decision(now)) {
      if (moved->admission.decision == throttle::Decision::admit) in.push_back(moved->query);
    }
    arrive();
  }
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
  // `in` is ours: its blocks are counted out by their size, one for each 64 queries.
  return {took / kRounds * 1e6,
          std::max(0.0, static_cast<double>(allocations() - allocated) / kRounds - 1.0 / 32)};
}

}  // namespace

bool measure_door(const std::string& program, std::uint64_t seed, double seconds) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  const auto length = [&](double part) { return Duration(static_cast<Duration::rep>(seconds * part * 1e9)); };
  const Cost cost = cost_of_a_decision(seed);
  std::printf("%-22s %7s %7s %7s | %7s %7s | %6s\n", "run", "souss", "atlas", "oasis", "MB 1st", "MB last",
              "cpu s");
  const Run alone = run(program, true, {}, length(0.25), seed);
  print("no flood, door on", alone);
  const Run off = run(program, false, length(0.25), length(0.25), seed);
  print("flood, door off", off);
  const Run on = run(program, true, length(0.3), length(0.4), seed);
  print("flood, door on", on);
  const auto part = [](std::uint64_t a, std::uint64_t b) {
    return b == 0 ? 0 : static_cast<double>(a) / static_cast<double>(b);
  };
  const double let_in = part(on.heeding.hinted_in, on.heeding.hinted_back);
  const double heed = part(on.heeding.served, on.heeding.first),
               ignore = part(on.ignoring.served, on.ignoring.first);
  std::printf("of %llu who came back when told %.3f were let in and served\n",
              static_cast<unsigned long long>(on.heeding.hinted_back), let_in);
  std::printf("of first tries served: %.3f of those who heed the hint, %.3f of those who ask again at once\n",
              heed, ignore);
  std::printf("a decision with 10,000 waiting: %.2f microseconds, %.4f allocations\n", cost.microseconds,
              cost.allocations);
  const double souss = on.ratio[0] / alone.ratio[0], atlas = on.ratio[1] / alone.ratio[1];
  const double harm = std::min(off.ratio[0], off.ratio[1]);
  const bool holds = souss > 0.95 && atlas > 0.95 && harm < 0.95 && on.last_mb - on.first_mb < 2 &&
                     let_in > 0.9 && ignore <= heed && cost.microseconds < 5 && cost.allocations < 0.01 &&
                     on.faults + off.faults + alone.faults == 0;
  std::printf(
      "door: %s others keep %.3f and %.3f (%.3f without the door), memory grows %.1f MB, %.3f let in, %.2f "
      "us, "
      "faults %llu\n",
      holds ? "holds" : "falls short", souss, atlas, harm, on.last_mb - on.first_mb, let_in,
      cost.microseconds, 0ULL + on.faults + off.faults + alone.faults);
  return holds;
}

bool demo(const std::string& program) {
  std::printf(
      "4 engines, 3 members at 50%% of them, and oasis-gaz at ten times its share from the 4th second on.\n");
  const Run r = run(program, true, std::chrono::seconds(8), std::chrono::seconds(10), 1);
  std::printf("%-22s %7s %7s %7s | %7s %7s | %6s\n", "in time, by member", "souss", "atlas", "oasis",
              "MB 1st", "MB last", "cpu s");
  print("flood, door on", r);
  std::printf("of the flood's %llu first tries %llu were served; %llu answers told when to come back\n",
              0ULL + r.heeding.first + r.ignoring.first, 0ULL + r.heeding.served + r.ignoring.served,
              0ULL + r.heeding.refused + r.ignoring.refused);
  return r.ratio[0] > 0;
}

}  // namespace yokestream::standin
