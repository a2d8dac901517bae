// Requests, connections and engines at random, on a system that falls short.
#include <doctest/doctest.h>

#include <cstdio>

#include "net_fickle.h"

namespace yokestream::test {
namespace {

// Requests are taken, connections and engines' connections come and go, and of all that the system is asked
// to start a part fails. Found by reading: a connection that could not be watched, or a slow one for whom no
// writer could be had, lost its answers.
TEST_CASE("each request taken has one whole answer, whatever the system has no room for") {
  spared = true;
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SeededRandom steps(seed);
    Fickle engine(seed);
    Running running(engine.at());
    short_of_all = 10 * (seed % 4);
    std::vector<std::unique_ptr<Asking>> clients;
    std::uint32_t asked = 0;
    const auto ask = [&](Asking& client) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", seed, ++asked);
      client.ask(id, steps.below(3000));
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = steps.below(10);
      if (clients.empty() || (step == 0 && clients.size() < 12)) {
        clients.push_back(std::make_unique<Asking>(running.server->endpoint()));
        ask(*clients.back());
      }
      const auto which = steps.below(clients.size());
      Asking& client = *clients[which];
      if (step < 6 && client.last < 100) {
        ask(client);
      } else if (step < 9) {
        if (!client.open.empty()) REQUIRE(client.hear());
      } else if (steps.below(3) == 0) {  // it leaves, whatever is open
        clients.erase(clients.begin() + static_cast<long>(which));
      }
    }
    for (const auto& client : clients) {
      while (!client->open.empty()) REQUIRE(client->hear());
    }
    short_of_all = 0;
  }
  spared = false;
}

}  // namespace
}  // namespace yokestream::test
