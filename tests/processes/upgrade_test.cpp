// Upgrades: a second process of the program on the same listening socket, under load; each process is
// terminated or killed at each step. Tests wait for what is observed, never for a time.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "client_pool.h"
#include "program.h"

namespace yokestream::test {
namespace {

const char* const kSuccess = "SUCCESS";

struct Site {
  TemporaryDirectory directory;
  TestListener clients;  // the platform's socket
  FakeEngine engine{0, true};
  std::string text = with_admin(config_text(to_string(clients.endpoint), to_string(engine.endpoint())));

  static std::string with_admin(std::string text) { return text.insert(1, R"("management":"127.0.0.1:0",)"); }
  std::unique_ptr<Program> start() { return std::make_unique<Program>(directory, text, clients.fd.get()); }
};

// The predecessor serves a pool of clients; the successor is up and has not been asked readyz yet.
struct Upgrade : Site {
  std::unique_ptr<Program> predecessor = start();
  config::Endpoint predecessor_admin = predecessor->admin_endpoint();
  ClientPool client_pool{clients.endpoint, 6};
  std::unique_ptr<Program> successor;
  config::Endpoint successor_admin;
  Upgrade() {
    wait_for_admin_response(predecessor_admin, "readyz", kSuccess);
    client_pool.wait_for_responses(50);
    successor = start();
    successor_admin = successor->admin_endpoint();
  }
  ~Upgrade() { client_pool.stop(); }  // while a process still serves
  long requests_of(const config::Endpoint& admin) {
    long sum = 0;
    for (const char* outcome : {"served", "refused", "failed"})
      sum += metric(admin, std::string("requests.look.") + outcome);
    return sum;
  }
  // No request was lost, and at most two sends per upgrade failed: the operators pay for more.
  void check(long upgrades = 1) {
    client_pool.stop();
    CHECK(client_pool.lost.load() == 0);
    CHECK(client_pool.failed_sends.load() <= 2 * upgrades);
  }
};

TEST_CASE_FIXTURE(
    Upgrade,
    "under load the successor serves once it is ready, the predecessor exits, and no request is lost") {
  client_pool.wait_for_responses(50);
  CHECK(requests_of(successor_admin) == 0);  // not asked yet: the predecessor serves
  wait_for_admin_response(successor_admin, "readyz", kSuccess);
  predecessor->send_signal(SIGTERM);
  CHECK(predecessor->wait_for_line("shutdown begins: successor=yes"));
  CHECK(call_admin(predecessor_admin, "readyz").rfind(kSuccess, 0) !=
        0);  // a failure, or it has exited already
  CHECK(predecessor->wait_for_line("ended"));
  CHECK(predecessor->wait_for_exit() == 0);
  client_pool.wait_for_responses(50);
  check();
  CHECK(requests_of(successor_admin) > 0);
  CHECK(metric(successor_admin, "in_flight") == 0);
}

// The successor is killed before it accepts connections. The predecessor must not lose a request.
TEST_CASE_FIXTURE(Upgrade, "a successor that dies before it is ready costs no request") {
  successor->send_signal(SIGKILL);
  CHECK(successor->wait_for_exit() == -SIGKILL);
  client_pool.wait_for_responses(100);
  check();
  CHECK(client_pool.failed_sends == 0);
}

// The successor is killed after its readyz succeeded. Only requests that it had accepted may fail; the
// predecessor is told to end then and must see that nobody else serves.
TEST_CASE_FIXTURE(
    Upgrade,
    "a successor that dies once it is ready loses only its own requests; the predecessor serves on") {
  wait_for_admin_response(successor_admin, "readyz", kSuccess);
  successor->send_signal(SIGKILL);
  CHECK(successor->wait_for_exit() == -SIGKILL);
  client_pool.wait_for_responses(100);
  CHECK(call_admin(predecessor_admin, "readyz").rfind(kSuccess, 0) == 0);
  predecessor->send_signal(SIGTERM);
  CHECK(predecessor->wait_for_line("shutdown begins: successor=no"));
  client_pool.stop();
}

// The predecessor is killed before anyone has called readyz on the successor. Without its own check of the
// process group the successor would never accept connections.
TEST_CASE_FIXTURE(Upgrade, "a successor that nobody asks serves once the predecessor was killed") {
  predecessor->send_signal(SIGKILL);
  CHECK(predecessor->wait_for_exit() == -SIGKILL);
  client_pool.wait_for_responses(100);
  CHECK(requests_of(successor_admin) > 0);
}

// SIGTERM reaches the predecessor before the successor is ready. It must not stop accepting at once, as
// nobody else does yet.
TEST_CASE_FIXTURE(Upgrade,
                  "a predecessor that is terminated before the successor is ready hands over all the same") {
  predecessor->send_signal(SIGTERM);
  CHECK(predecessor->wait_for_line("shutdown begins: successor=no"));
  CHECK(predecessor->wait_for_line("ended"));
  CHECK(predecessor->wait_for_exit() == 0);
  client_pool.wait_for_responses(50);
  CHECK(requests_of(successor_admin) > 0);
  check();
}

// Both processes get SIGTERM. Neither may count on the other for its open requests.
TEST_CASE_FIXTURE(Upgrade, "when both are terminated each answers its open requests and exits with 0") {
  wait_for_admin_response(successor_admin, "readyz", kSuccess);
  predecessor->send_signal(SIGTERM);
  CHECK(predecessor->wait_for_line("shutdown begins: successor=yes"));
  successor->send_signal(SIGTERM);
  CHECK(successor->wait_for_line("shutdown begins: successor=no"));
  client_pool.stop();
  CHECK(predecessor->wait_for_exit() == 0);
  CHECK(successor->wait_for_exit() == 0);
}

TEST_CASE_FIXTURE(Upgrade, "in an upgrade within an upgrade the third process serves and the others exit") {
  wait_for_admin_response(successor_admin, "readyz", kSuccess);
  predecessor->send_signal(SIGTERM);
  const auto third = start();
  const auto third_admin = third->admin_endpoint();
  wait_for_admin_response(third_admin, "readyz", kSuccess);
  successor->send_signal(SIGTERM);
  CHECK(successor->wait_for_line("shutdown begins: successor=yes"));
  CHECK(predecessor->wait_for_exit() == 0);
  CHECK(successor->wait_for_exit() == 0);
  client_pool.wait_for_responses(50);
  check(2);
  CHECK(requests_of(third_admin) > 0);
}

bool has_restored_state(const Program& program) {
  return program.output().find("learned state restored: engines=1 ") != std::string::npos;
}

TEST_CASE_FIXTURE(Upgrade, "a successor starts with the learned state, and so does one after a kill") {
  CHECK(has_restored_state(*successor));
  CHECK_FALSE(has_restored_state(*predecessor));
  predecessor->send_signal(SIGKILL);
  CHECK(predecessor->wait_for_exit() == -SIGKILL);
  client_pool.wait_for_responses(50);  // served by the successor, the only process left
  successor->send_signal(SIGKILL);
  CHECK(successor->wait_for_exit() == -SIGKILL);
  const auto third = start();
  wait_for_admin_response(third->admin_endpoint(), "readyz", kSuccess);
  CHECK(has_restored_state(*third));
  client_pool.wait_for_responses(20);
  client_pool.stop();  // while a process still serves
}

// The snapshot file holds noise. The process must start all the same, and say so once.
TEST_CASE("a corrupt snapshot is logged in one line, and the process starts without it") {
  Site site;
  std::ofstream(site.directory.path() + "/yokestream-learnt") << "not a valid file";
  const auto program = site.start();
  wait_for_admin_response(program->admin_endpoint(), "readyz", kSuccess);
  const std::string words = "learned state of another process rejected: cause=\"it has another format\"";
  const auto at = program->output().find(words);
  CHECK(at != std::string::npos);
  CHECK(program->output().find(words, at + 1) == std::string::npos);
  ClientPool client_pool(site.clients.endpoint, 2);
  client_pool.wait_for_responses(20);
}

// The group's file holds noise and a process of the group was killed. Neither may count as a peer.
TEST_CASE("noise in the shared file and a killed process do not keep another from serving") {
  Site site;
  std::ofstream(site.directory.path() + "/yokestream-processes") << "not a valid file";
  {
    const auto dead = site.start();
    dead->admin_endpoint();
    dead->send_signal(SIGKILL);
    dead->wait_for_exit();
  }
  const auto program = site.start();
  wait_for_admin_response(program->admin_endpoint(), "readyz", kSuccess);
  ClientPool client_pool(site.clients.endpoint, 2);
  client_pool.wait_for_responses(20);
}

TEST_CASE("a wrong inherited socket or setting is named in one message, with exit status 1") {
  Site site;
  TemporaryDirectory other;
  const auto fails = [&](const std::string& config, int listener,
                         std::map<std::string, std::string> environment, const std::string& names) {
    Program program(site.directory, config, listener, std::move(environment));
    CHECK(program.wait_for_line(names));
    CHECK(program.wait_for_exit() == 1);
  };
  const std::string file = other.path() + "/file";
  std::ofstream out(file);
  const int plain = ::open(file.c_str(), O_RDONLY);
  fails(site.text, plain, {}, "RELAY_LISTEN_FD");
  fails(site.text, -1, {{"RELAY_LISTEN_FD", "4"}}, "RELAY_LISTEN_FD");
  fails(site.text, -1, {{"RELAY_LISTEN_FD", "four"}}, "RELAY_LISTEN_FD");
  fails(config_text(), -1, {{"RELAY_MANAGEMENT", "nowhere"}}, "RELAY_MANAGEMENT");
  std::string bad = site.text;
  fails(bad.replace(bad.find("127.0.0.1:0"), 11, "127.0.0.1:x"), site.clients.fd.get(), {}, "management");
  ::close(plain);
}

}  // namespace
}  // namespace yokestream::test
