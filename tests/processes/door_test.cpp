// The operators' door of the real program: silent, endless and many callers, drains, and figures against what
// clients heard.
#include <doctest/doctest.h>
#include <signal.h>

#include "crowd.h"
#include "program.h"

namespace yokestream::test {
namespace {

struct Served {
  Folder folder;
  FakeEngine engine{0, true};
  TestListener clients;
  Program program{folder, config(), clients.fd.get()};
  config::Endpoint door = program.operators();
  Served() { ask_until(door, "readyz", "SUCCESS"); }

  std::string config() {
    std::string text = config_text(to_string(clients.endpoint), to_string(engine.endpoint()));
    return text.insert(1, R"("management":"127.0.0.1:0",)");
  }
};

TEST_CASE_FIXTURE(Served,
                  "a real caller is answered though hundreds connect, say nothing, or never come to an end") {
  std::vector<std::unique_ptr<TestPeer>> callers;
  for (int i = 0; i < 300; ++i) {
    callers.push_back(std::make_unique<TestPeer>(door));
    if (i % 3 == 1) callers.back()->socket.write("read");
    if (i % 3 == 2) callers.back()->socket.write(std::string(20'000, 'x'));
    if (i % 50 == 0) CHECK(ask(door, "readyz") == "SUCCESS\n");
  }
  CHECK(ask(door, "readyz") == "SUCCESS\n");
  CHECK(ask(door, "reboot") == "FAILURE an unknown call\n");
  CHECK(ask(door, "").rfind("FAILURE", 0) == 0);
  const std::string figures = ask(door, "telemetry");
  CHECK(figures.rfind("SUCCESS\n", 0) == 0);
  CHECK(figures.find("\nedge_relay.in_flight:0|g\n") != std::string::npos);
  CHECK(figures.substr(figures.size() - 5) == "\nEOT\n");
}

TEST_CASE_FIXTURE(Served,
                  "after an upgrade or a crash the figures start at 0; then they are what clients heard") {
  for (const char* name : {"requests.look.served", "requests.load.failed", "attempts", "in_flight"})
    CHECK(figure(door, name) == 0);
  CHECK(figure(door, "engines_known") == 1);
  Crowd crowd(clients.endpoint, 4);
  crowd.wait_for(300);
  crowd.finish();
  const long refused = figure(door, "requests.look.refused"), failed = figure(door, "requests.look.failed");
  CHECK(figure(door, "requests.look.served") == crowd.served);
  CHECK(refused + failed == crowd.answered - crowd.served);
  CHECK(figure(door, "attempts") == engine.request_count());
}

TEST_CASE_FIXTURE(Served,
                  "a drain sends clients away that keep sending; activate has them back; SIGTERM ends it") {
  Crowd crowd(clients.endpoint, 4);
  crowd.wait_for(50);
  TestPeer idle(clients.endpoint);
  CHECK(ask(door, "evacuate") == "SUCCESS\n");
  CHECK(ask(door, "readyz").rfind("FAILURE", 0) == 0);
  CHECK_FALSE(idle.read_until("anything"));  // closed, though it never asked
  crowd.wait_for(20);                        // new connections are served while it drains
  CHECK(ask(door, "activate") == "SUCCESS\n");
  ask_until(door, "readyz", "SUCCESS");
  crowd.wait_for(50);
  CHECK(ask(door, "evacuate") == "SUCCESS\n");
  CHECK(ask(door, "activate") == "SUCCESS\n");
  CHECK(ask(door, "activate") == "SUCCESS\n");
  ask_until(door, "readyz", "SUCCESS");
  crowd.finish();
  CHECK(crowd.lost == 0);
  CHECK(ask(door, "evacuate") == "SUCCESS\n");
  program.tell(SIGTERM);
  CHECK(program.until("told to end"));
  CHECK(ask(door, "readyz").rfind("FAILURE", 0) == 0);
  CHECK(program.ended() == 0);
}

TEST_CASE("without its address there is no door, and nothing else changes") {
  Folder folder;
  Program program(folder, config_text(), -1);
  CHECK(program.until("serves on"));
  CHECK(program.said().find("operators") == std::string::npos);
  program.tell(SIGTERM);
  CHECK(program.ended() == 0);
}

}  // namespace
}  // namespace yokestream::test
