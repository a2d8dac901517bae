// Upgrades under load, with what was learnt handed on and without, beside plain restarts; the same clients
// and the same engine: what `measure/running` prints.
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

// Danger: the module compares logarithms of times. At a fifth of a millisecond one late wake-up of a busy
// machine reads as a tenfold slowdown, and it refuses as for an overloaded pool.
constexpr auto kTakes = std::chrono::milliseconds(20);
constexpr long kRound = 400;  // answers: over two seconds, in which what was learnt is put down at least once
constexpr long kFirst = 100;  // answers after a change of processes that are looked at

enum class Way { restart, upgrade, upgrade_cold };

struct Sums {
  long rounds = 0, first_unserved = 0, answered = 0, served = 0, turned_back = 0, lost = 0;
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

// The same under another name of its kind of engine: what was learnt of the one says nothing of the other.
std::string renamed(std::string text) {
  for (std::size_t at = 0; (at = text.find(R"("m")", at)) != std::string::npos;) text[at + 1] = 'k';
  return text;
}

// Rounds of replacing the one process that serves: beside it (an upgrade), or after its end.
Sums play(Way way, std::uint32_t seed, Duration time) {
  Folder folder;
  TestListener clients;
  FakeEngine engine(seed, true, kTakes);
  const std::string text = config_text(to_string(clients.endpoint), to_string(engine.endpoint()))
                               .insert(1, R"("management":"127.0.0.1:0",)");
  Sums sums;
  int starts = 0;
  const auto start = [&] {
    const bool other = way == Way::upgrade_cold && ++starts % 2 == 0;
    auto program = std::make_unique<Program>(folder, other ? renamed(text) : text, clients.fd.get());
    ask_until(program->operators(), "readyz", "SUCCESS");
    return program;
  };
  auto serving = start();
  Crowd crowd(clients.endpoint, 12);
  for (const Time until = now() + time; now() < until; ++sums.rounds) {
    crowd.wait_for(kRound);
    const long unserved = crowd.answered - crowd.served;
    auto next = way == Way::restart ? nullptr : start();
    serving->tell(SIGTERM);
    watch(crowd, sums, [&] { return serving->has_ended(); });
    serving = next ? std::move(next) : start();
    crowd.wait_for(kFirst);
    sums.first_unserved += crowd.answered - crowd.served - unserved;
  }
  crowd.finish();
  sums.answered = crowd.answered, sums.served = crowd.served, sums.lost = crowd.lost;
  sums.turned_back = crowd.turned_back;
  return sums;
}

double ratio(long part, long of) { return static_cast<double>(part) / static_cast<double>(std::max(1L, of)); }

void print(const char* name, const Sums& s) {
  std::printf("%-20s %7ld %9ld %7.3f %14.2f %12.2f %5ld %13.0f\n", name, s.rounds, s.answered,
              ratio(s.served, s.answered), ratio(s.first_unserved, s.rounds), ratio(s.turned_back, s.rounds),
              s.lost, std::chrono::duration<double, std::milli>(s.longest).count());
}

}  // namespace
}  // namespace yokestream::test

int main(int argc, char** argv) {
  using namespace yokestream::test;
  std::uint32_t seed = 1;
  int seconds = 60;
  CLI::App app("Upgrades under load beside plain restarts");
  app.add_option("--seed", seed, "of the engine's failures");
  app.add_option("--seconds", seconds, "for all three together, rounds that have begun not counted")
      ->check(CLI::Range(3, 110));
  CLI11_PARSE(app, argc, argv);
  doctest::Context context;
  context.setAsDefaultForAssertsOutOfTestCases();
  const Duration each = std::chrono::seconds(seconds) / 3;
  const Sums restarts = play(Way::restart, seed, each);
  const Sums cold = play(Way::upgrade_cold, seed, each);
  const Sums upgrades = play(Way::upgrade, seed, each);
  std::printf("%-20s %7s %9s %7s %14s %12s %5s %13s\n", "", "rounds", "answered", "served", "first unserved",
              "turned back", "lost", "silence, ms");
  print("restarts", restarts), print("upgrades, cold", cold), print("upgrades, handed on", upgrades);
  const bool holds = upgrades.lost == 0 && upgrades.turned_back <= 2 * upgrades.rounds &&
                     upgrades.served * restarts.answered >= restarts.served * upgrades.answered &&
                     upgrades.first_unserved * cold.rounds <= cold.first_unserved * upgrades.rounds;
  std::printf("running: %s lost %ld, turned back %.2f an upgrade\n", holds ? "holds" : "falls short",
              upgrades.lost, ratio(upgrades.turned_back, upgrades.rounds));
  return holds ? 0 : 1;
}
