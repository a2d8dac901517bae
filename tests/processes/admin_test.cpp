// The admin endpoint of the real program: silent, endless and many callers, drains, and metrics compared with
// the responses that clients received.
#include <doctest/doctest.h>
#include <signal.h>

#include "client_pool.h"
#include "program.h"

namespace yokestream::test {
namespace {

struct AdminServer {
  TemporaryDirectory directory;
  FakeEngine engine{0, true};
  TestListener clients;
  Program program{directory, config(), clients.fd.get()};
  config::Endpoint admin = program.admin_endpoint();
  AdminServer() { wait_for_admin_response(admin, "readyz", "SUCCESS"); }

  std::string config() {
    std::string text = config_text(to_string(clients.endpoint), to_string(engine.endpoint()));
    return text.insert(1, R"("management":"127.0.0.1:0",)");
  }
};

TEST_CASE_FIXTURE(
    AdminServer,
    "a caller is answered while hundreds of others connect, stay silent, or send endless lines") {
  std::vector<std::unique_ptr<TestPeer>> callers;
  for (int i = 0; i < 300; ++i) {
    callers.push_back(std::make_unique<TestPeer>(admin));
    if (i % 3 == 1) callers.back()->socket.write("read");
    if (i % 3 == 2) callers.back()->socket.write(std::string(20'000, 'x'));
    if (i % 50 == 0) CHECK(call_admin(admin, "readyz") == "SUCCESS\n");
  }
  CHECK(call_admin(admin, "readyz") == "SUCCESS\n");
  CHECK(call_admin(admin, "reboot") == "FAILURE an unknown call\n");
  CHECK(call_admin(admin, "").rfind("FAILURE", 0) == 0);
  const std::string metrics = call_admin(admin, "telemetry");
  CHECK(metrics.rfind("SUCCESS\n", 0) == 0);
  CHECK(metrics.find("\nedge_relay.in_flight:0|g\n") != std::string::npos);
  CHECK(metrics.substr(metrics.size() - 5) == "\nEOT\n");
}

TEST_CASE_FIXTURE(AdminServer,
                  "metrics start at 0 in a new process, and match the responses that clients received") {
  for (const char* name : {"requests.look.served", "requests.load.failed", "attempts", "in_flight"})
    CHECK(metric(admin, name) == 0);
  CHECK(metric(admin, "engines_known") == 1);
  ClientPool client_pool(clients.endpoint, 4);
  client_pool.wait_for_responses(300);
  client_pool.stop();
  const long refused = metric(admin, "requests.look.refused"), failed = metric(admin, "requests.look.failed");
  CHECK(metric(admin, "requests.look.served") == client_pool.served);
  CHECK(refused + failed == client_pool.answered - client_pool.served);
  CHECK(metric(admin, "attempts") == engine.request_count());
}

TEST_CASE_FIXTURE(
    AdminServer,
    "a drain closes client connections, activate ends the drain, and SIGTERM exits while draining") {
  ClientPool client_pool(clients.endpoint, 4);
  client_pool.wait_for_responses(50);
  TestPeer idle(clients.endpoint);
  CHECK(call_admin(admin, "evacuate") == "SUCCESS\n");
  CHECK(call_admin(admin, "readyz").rfind("FAILURE", 0) == 0);
  CHECK_FALSE(idle.read_until("anything"));  // closed, although it never sent a request
  client_pool.wait_for_responses(20);        // new connections are served during the drain
  CHECK(call_admin(admin, "activate") == "SUCCESS\n");
  wait_for_admin_response(admin, "readyz", "SUCCESS");
  client_pool.wait_for_responses(50);
  CHECK(call_admin(admin, "evacuate") == "SUCCESS\n");
  CHECK(call_admin(admin, "activate") == "SUCCESS\n");
  CHECK(call_admin(admin, "activate") == "SUCCESS\n");
  wait_for_admin_response(admin, "readyz", "SUCCESS");
  client_pool.stop();
  CHECK(client_pool.lost == 0);
  CHECK(call_admin(admin, "evacuate") == "SUCCESS\n");
  program.send_signal(SIGTERM);
  CHECK(program.wait_for_line("told to end"));
  CHECK(call_admin(admin, "readyz").rfind("FAILURE", 0) == 0);
  CHECK(program.wait_for_exit() == 0);
}

TEST_CASE("without a management address there is no admin endpoint, and the program serves clients") {
  TemporaryDirectory directory;
  Program program(directory, config_text(), -1);
  CHECK(program.wait_for_line("serves on"));
  CHECK(program.output().find("operators") == std::string::npos);
  program.send_signal(SIGTERM);
  CHECK(program.wait_for_exit() == 0);
}

}  // namespace
}  // namespace yokestream::test
