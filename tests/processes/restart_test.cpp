// A planned restart of the real program while a request is half sent, signals are repeated or reloads come
// in.
#include <doctest/doctest.h>
#include <signal.h>

#include "crowd.h"
#include "program.h"

namespace yokestream::test {
namespace {

struct Restarting {
  Folder folder;
  FakeEngine engine{0, true};
  Program program{folder, config_text("127.0.0.1:0", to_string(engine.endpoint())), -1};
  TestPeer client{program.serves_on()};
  const std::string request = encode_request(1, "0123456789abcdef", "select 1");
};

TEST_CASE_FIXTURE(
    Restarting, "a request half read at SIGTERM is served once it is complete, then its connection closes") {
  client.send(request.substr(0, 20));
  program.tell(SIGTERM);
  REQUIRE(program.until("told to end"));
  client.send(request.substr(20));
  CHECK(client.read_until("a\tb\t0123456789abcdef\n"));
  CHECK_FALSE(client.read_until("anything"));
  CHECK(program.ended() == 0);
}

// A supervisor repeats SIGTERM, and a reload comes in meanwhile. The request that is half sent is still
// served.
TEST_CASE_FIXTURE(Restarting, "a second SIGTERM and a SIGHUP during the shutdown change nothing") {
  client.send(request.substr(0, 20));
  program.tell(SIGTERM);
  REQUIRE(program.until("told to end"));
  program.tell(SIGTERM);
  program.tell(SIGHUP);
  client.send(request.substr(20));
  CHECK(client.read_until("a\tb\t0123456789abcdef\n"));
  CHECK(program.until("ended"));
  CHECK(program.ended() == 0);
}

// A client sends half a request and nothing more. The process must not wait for the rest until it is killed.
TEST_CASE_FIXTURE(Restarting, "a request that never becomes complete does not delay the exit") {
  client.send(request.substr(0, 20));
  program.tell(SIGTERM);
  CHECK(program.until("ended"));
  CHECK(program.ended() == 0);
  CHECK_FALSE(client.read_until("anything"));
}

TEST_CASE_FIXTURE(Restarting, "reloads in quick succession cost no response and no connection") {
  Crowd crowd(program.serves_on(), 3);
  crowd.wait_for(20);
  for (int i = 0; i < 40; ++i) {
    program.tell(SIGHUP);
    crowd.wait_for(1);
  }
  crowd.finish();
  CHECK(crowd.lost == 0);
  CHECK(crowd.turned_back == 0);
  program.tell(SIGTERM);
  CHECK(program.until("ended"));
  CHECK(program.ended() == 0);
}

}  // namespace
}  // namespace yokestream::test
