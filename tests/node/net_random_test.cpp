// Requests, connections and engines at random, on a system that falls short.
#include <doctest/doctest.h>

#include <cstdio>

#include "net_fake_engine.h"

namespace yokestream::test {
namespace {

// Requests are taken, connections and engines' connections come and go, and of all that the system is asked
// to start a part fails. Found by reading: a connection that could not be watched, or a slow one for whom no
// writer could be had, lost its answers.
TEST_CASE("each request taken has one whole answer, whatever the system has no room for") {
  exempt_from_faults = true;
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SeededRandom steps(seed);
    FakeEngine engine(seed);
    RunningServer running(engine.endpoint());
    resource_failure_percent = 10 * (seed % 4);
    std::vector<std::unique_ptr<TestClient>> clients;
    std::uint32_t asked = 0;
    const auto ask = [&](TestClient& client) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", seed, ++asked);
      client.send_request(id, steps.below(3000));
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = steps.below(10);
      if (clients.empty() || (step == 0 && clients.size() < 12)) {
        clients.push_back(std::make_unique<TestClient>(running.server->endpoint()));
        ask(*clients.back());
      }
      const auto which = steps.below(clients.size());
      TestClient& client = *clients[which];
      if (step < 6 && client.last_call < 100) {
        ask(client);
      } else if (step < 9) {
        if (!client.open_calls.empty()) REQUIRE(client.receive_response());
      } else if (steps.below(3) == 0) {  // it leaves, whatever is open
        clients.erase(clients.begin() + static_cast<long>(which));
      }
    }
    for (const auto& client : clients) {
      while (!client->open_calls.empty()) REQUIRE(client->receive_response());
    }
    resource_failure_percent = 0;
  }
  exempt_from_faults = false;
}

}  // namespace
}  // namespace yokestream::test
