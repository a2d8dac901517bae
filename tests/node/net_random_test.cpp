// Random requests, connections and engine failures while the system is short of resources.
#include <doctest/doctest.h>

#include <cstdio>

#include "net_fake_engine.h"

namespace yokestream::test {
namespace {

// Client and engine connections come and go while some of the calls that start threads, open descriptors or
// watch them fail. Guards against lost responses on a connection that could not be added to a poller, or on a
// slow one for which no writer thread could be started.
TEST_CASE("each accepted request gets one complete response, whichever resource is exhausted") {
  exempt_from_faults = true;
  for (std::uint32_t seed = 1; seed <= 8; ++seed) {
    CAPTURE(seed);
    SeededRandom steps(seed);
    FakeEngine engine(seed);
    RunningServer running(engine.endpoint());
    resource_failure_percent = 10 * (seed % 4);
    std::vector<std::unique_ptr<TestClient>> clients;
    std::uint32_t sent_count = 0;
    const auto send_next_request = [&](TestClient& client) {
      char id[17];
      std::snprintf(id, sizeof id, "%08x%08x", seed, ++sent_count);
      client.send_request(id, steps.below(3000));
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = steps.below(10);
      if (clients.empty() || (step == 0 && clients.size() < 12)) {
        clients.push_back(std::make_unique<TestClient>(running.server->endpoint()));
        send_next_request(*clients.back());
      }
      const auto client_index = steps.below(clients.size());
      TestClient& client = *clients[client_index];
      if (step < 6 && client.last_call < 100) {
        send_next_request(client);
      } else if (step < 9) {
        if (!client.open_calls.empty()) REQUIRE(client.receive_response());
      } else if (steps.below(3) == 0) {  // the client leaves, perhaps with open requests
        clients.erase(clients.begin() + static_cast<long>(client_index));
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
