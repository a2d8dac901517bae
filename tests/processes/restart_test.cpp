// A planned restart of the real program while a request is incomplete, signals are repeated or reloads
// arrive.
#include <doctest/doctest.h>
#include <signal.h>

#include "client_pool.h"
#include "program.h"

namespace yokestream::test {
namespace {

struct Restarting {
  TemporaryDirectory directory;
  FakeEngine engine{0, true};
  Program program{directory, config_text("127.0.0.1:0", to_string(engine.endpoint())), -1};
  TestPeer client{program.client_endpoint()};
  const std::string request = encode_request(1, "0123456789abcdef", "select 1");
};

TEST_CASE_FIXTURE(
    Restarting,
    "a request that is incomplete at SIGTERM is served once complete, then its connection closes") {
  client.send(request.substr(0, 20));
  program.send_signal(SIGTERM);
  REQUIRE(program.wait_for_line("told to end"));
  client.send(request.substr(20));
  CHECK(client.read_until("a\tb\t0123456789abcdef\n"));
  CHECK_FALSE(client.read_until("anything"));
  CHECK(program.wait_for_exit() == 0);
}

// A supervisor repeats SIGTERM, and a reload comes in meanwhile. The request that is half sent is still
// served.
TEST_CASE_FIXTURE(Restarting, "a second SIGTERM and a SIGHUP during the shutdown change nothing") {
  client.send(request.substr(0, 20));
  program.send_signal(SIGTERM);
  REQUIRE(program.wait_for_line("told to end"));
  program.send_signal(SIGTERM);
  program.send_signal(SIGHUP);
  client.send(request.substr(20));
  CHECK(client.read_until("a\tb\t0123456789abcdef\n"));
  CHECK(program.wait_for_line("ended"));
  CHECK(program.wait_for_exit() == 0);
}

// A client sends half a request and nothing more. The process must not wait for the rest until it is killed.
TEST_CASE_FIXTURE(Restarting, "a request that never becomes complete does not delay the exit") {
  client.send(request.substr(0, 20));
  program.send_signal(SIGTERM);
  CHECK(program.wait_for_line("ended"));
  CHECK(program.wait_for_exit() == 0);
  CHECK_FALSE(client.read_until("anything"));
}

TEST_CASE_FIXTURE(Restarting, "reloads in quick succession cost no response and no connection") {
  ClientPool clients(program.client_endpoint(), 3);
  clients.wait_for_responses(20);
  for (int i = 0; i < 40; ++i) {
    program.send_signal(SIGHUP);
    clients.wait_for_responses(1);
  }
  clients.stop();
  CHECK(clients.lost == 0);
  CHECK(clients.failed_sends == 0);
  program.send_signal(SIGTERM);
  CHECK(program.wait_for_line("ended"));
  CHECK(program.wait_for_exit() == 0);
}

}  // namespace
}  // namespace yokestream::test
