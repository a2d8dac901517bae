// Upgrades under load beside plain restarts, the same clients and the same engine: what `measure/running`
// prints.
//   yokestream_running_measure [--seed N] [--seconds N]
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <thread>

#include "crowd.h"
#include "program.h"

namespace yokestream::test {
namespace {

using net::now;

struct Sums {
  long rounds = 0, answered = 0, served = 0, turned_back = 0, lost = 0;
  Duration longest{};  // without an answer to anybody
};

// Goes on until `done`, and notes the longest time without an answer.
template <class Done>
void watch(const Crowd& crowd, Sums& sums, Done done) {
  long last = crowd.answered;
  for (Time since = now(); !done(); std::this_thread::sleep_for(std::chrono::milliseconds(1))) {
    const long answered = crowd.answered;
    sums.longest = std::max(sums.longest, now() - since);
    if (std::exchange(last, answered) != answered) since = now();
  }
}

// Rounds of replacing the one process that serves: beside it (an upgrade), or after its end.
Sums play(bool beside, std::uint32_t seed, Duration time) {
  Folder folder;
  Listening clients;
  Fickle engine(seed, true);
  const std::string text =
      config_text(to_string(clients.at), to_string(engine.at())).insert(1, R"("management":"127.0.0.1:0",)");
  const auto start = [&] {
    auto program = std::make_unique<Program>(folder, text, clients.fd.get());
    ask_until(program->operators(), "readyz", "SUCCESS");
    return program;
  };
  Sums sums;
  auto serving = start();
  Crowd crowd(clients.at, 12);
  for (const Time until = now() + time; now() < until; ++sums.rounds) {
    crowd.wait_for(100);
    auto next = beside ? start() : nullptr;
    serving->tell(SIGTERM);
    watch(crowd, sums, [&] { return serving->has_ended(); });
    serving = next ? std::move(next) : start();
  }
  crowd.finish();
  sums.answered = crowd.answered, sums.served = crowd.served, sums.lost = crowd.lost;
  sums.turned_back = crowd.turned_back;
  return sums;
}

void print(const char* name, const Sums& s) {
  std::printf("%-10s %7ld %9ld %7.3f %12.2f %5ld %13.0f\n", name, s.rounds, s.answered,
              static_cast<double>(s.served) / static_cast<double>(std::max(1L, s.answered)),
              static_cast<double>(s.turned_back) / static_cast<double>(std::max(1L, s.rounds)), s.lost,
              std::chrono::duration<double, std::milli>(s.longest).count());
}

}  // namespace
}  // namespace yokestream::test

int main(int argc, char** argv) {
  using namespace yokestream::test;
  std::uint32_t seed = 1;
  int seconds = 40;
  CLI::App app("Upgrades under load beside plain restarts");
  app.add_option("--seed", seed, "of the engine's failures");
  app.add_option("--seconds", seconds, "for both together, rounds that have begun not counted")
      ->check(CLI::Range(2, 110));
  CLI11_PARSE(app, argc, argv);
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  const Sums restarts = play(false, seed, std::chrono::seconds(seconds) / 2);
  const Sums upgrades = play(true, seed, std::chrono::seconds(seconds) / 2);
  std::printf("%-10s %7s %9s %7s %12s %5s %13s\n", "", "rounds", "answered", "served", "turned back", "lost",
              "silence, ms");
  print("restarts", restarts), print("upgrades", upgrades);
  const bool holds = upgrades.lost == 0 && upgrades.turned_back <= 2 * upgrades.rounds &&
                     upgrades.served * restarts.answered >= restarts.served * upgrades.answered;
  std::printf("running: %s lost %ld, turned back %.2f an upgrade\n", holds ? "holds" : "falls short",
              upgrades.lost,
              static_cast<double>(upgrades.turned_back) / static_cast<double>(std::max(1L, upgrades.rounds)));
  return holds ? 0 : 1;
}
