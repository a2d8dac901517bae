// Compares upgrades under load, with and without the transfer of learned state, with plain restarts. All use
// the same clients and the same engine. `measure/running` prints the result.
//   yokestream_running_measure [--seed N] [--seconds N]
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <thread>

#include "client_pool.h"
#include "program.h"

namespace yokestream::test {
namespace {

using net::now;

// The policy module compares logarithms of times. With a service time of 0.2 ms one late wake-up on a busy
// machine looks like a tenfold slowdown, and the module rejects requests as if the pool were overloaded.
constexpr auto kServiceTime = std::chrono::milliseconds(20);
// Over two seconds of responses, in which a snapshot of the learned state is written at least once.
constexpr long kResponsesPerRound = 400;
constexpr long kResponsesAfterReplacement = 100;  // responses that are examined after a process is replaced

enum class Replacement { restart, upgrade, upgrade_cold };

struct Sums {
  long rounds = 0, first_unserved = 0, answered = 0, served = 0, failed_sends = 0, lost = 0;
  Duration longest_gap{};  // longest time without a response to any client
};

// Polls until `done`, and records the longest time without a response.
template <class Done>
void watch(const ClientPool& client_pool, Sums& sums, Done done) {
  long last = client_pool.answered;
  for (Time since = now(); !done(); std::this_thread::sleep_for(std::chrono::milliseconds(1))) {
    const long answered = client_pool.answered;
    sums.longest_gap = std::max(sums.longest_gap, now() - since);
    if (std::exchange(last, answered) != answered) since = now();
  }
}

// The same configuration with another engine kind, to which the learned state does not apply.
std::string with_other_engine_kind(std::string text) {
  for (std::size_t at = 0; (at = text.find(R"("m")", at)) != std::string::npos;) text[at + 1] = 'k';
  return text;
}

// Repeatedly replaces the one serving process: by a second process beside it (an upgrade), or after it has
// exited.
Sums run_rounds(Replacement replacement, std::uint32_t seed, Duration time) {
  TemporaryDirectory directory;
  TestListener clients;
  FakeEngine engine(seed, true, kServiceTime);
  const std::string text = config_text(to_string(clients.endpoint), to_string(engine.endpoint()))
                               .insert(1, R"("management":"127.0.0.1:0",)");
  Sums sums;
  int starts = 0;
  const auto start = [&] {
    const bool other = replacement == Replacement::upgrade_cold && ++starts % 2 == 0;
    auto program =
        std::make_unique<Program>(directory, other ? with_other_engine_kind(text) : text, clients.fd.get());
    wait_for_admin_response(program->admin_endpoint(), "readyz", "SUCCESS");
    return program;
  };
  auto serving = start();
  ClientPool client_pool(clients.endpoint, 12);
  for (const Time until = now() + time; now() < until; ++sums.rounds) {
    client_pool.wait_for_responses(kResponsesPerRound);
    const long unserved = client_pool.answered - client_pool.served;
    auto next = replacement == Replacement::restart ? nullptr : start();
    serving->send_signal(SIGTERM);
    watch(client_pool, sums, [&] { return serving->has_exited(); });
    serving = next ? std::move(next) : start();
    client_pool.wait_for_responses(kResponsesAfterReplacement);
    sums.first_unserved += client_pool.answered - client_pool.served - unserved;
  }
  client_pool.stop();
  sums.answered = client_pool.answered, sums.served = client_pool.served, sums.lost = client_pool.lost;
  sums.failed_sends = client_pool.failed_sends;
  return sums;
}

double ratio(long part, long of) { return static_cast<double>(part) / static_cast<double>(std::max(1L, of)); }

void print(const char* name, const Sums& s) {
  std::printf("%-20s %7ld %9ld %7.3f %14.2f %12.2f %5ld %13.0f\n", name, s.rounds, s.answered,
              ratio(s.served, s.answered), ratio(s.first_unserved, s.rounds), ratio(s.failed_sends, s.rounds),
              s.lost, std::chrono::duration<double, std::milli>(s.longest_gap).count());
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
  const Sums restarts = run_rounds(Replacement::restart, seed, each);
  const Sums cold = run_rounds(Replacement::upgrade_cold, seed, each);
  const Sums upgrades = run_rounds(Replacement::upgrade, seed, each);
  std::printf("%-20s %7s %9s %7s %14s %12s %5s %13s\n", "", "rounds", "answered", "served", "first unserved",
              "turned back", "lost", "silence, ms");
  print("restarts", restarts), print("upgrades, cold", cold), print("upgrades, handed on", upgrades);
  const bool holds = upgrades.lost == 0 && upgrades.failed_sends <= 2 * upgrades.rounds &&
                     upgrades.served * restarts.answered >= restarts.served * upgrades.answered &&
                     upgrades.first_unserved * cold.rounds <= cold.first_unserved * upgrades.rounds;
  std::printf("running: %s lost %ld, turned back %.2f an upgrade\n", holds ? "holds" : "falls short",
              upgrades.lost, ratio(upgrades.failed_sends, upgrades.rounds));
  return holds ? 0 : 1;
}
