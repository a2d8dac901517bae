// Upgrades: a second process of the program on the same listening socket, under load; each process is
// terminated or killed at each step. Tests wait for what is observed, never for a time.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "crowd.h"
#include "program.h"

namespace yokestream::test {
namespace {

const char* const kSuccess = "SUCCESS";

struct Site {
  Folder folder;
  TestListener clients;  // the platform's socket
  FakeEngine engine{0, true};
  std::string text = with_admin(config_text(to_string(clients.endpoint), to_string(engine.endpoint())));

  static std::string with_admin(std::string text) { return text.insert(1, R"("management":"127.0.0.1:0",)"); }
  std::unique_ptr<Program> start() { return std::make_unique<Program>(folder, text, clients.fd.get()); }
};

// The predecessor serves a crowd of clients; the successor is up and has not been asked readyz yet.
struct Upgrade : Site {
  std::unique_ptr<Program> predecessor = start();
  config::Endpoint predecessor_admin = predecessor->operators();
  Crowd crowd{clients.endpoint, 6};
  std::unique_ptr<Program> successor;
  config::Endpoint successor_admin;
  Upgrade() {
    ask_until(predecessor_admin, "readyz", kSuccess);
    crowd.wait_for(50);
    successor = start();
    successor_admin = successor->operators();
  }
  ~Upgrade() { crowd.finish(); }  // while somebody serves
  long requests_of(const config::Endpoint& admin) {
    long sum = 0;
    for (const char* end : {"served", "refused", "failed"})
      sum += figure(admin, std::string("requests.look.") + end);
    return sum;
  }
  // No request was lost, and at most two an upgrade were rejected unread: the operators pay for more.
  void check(long upgrades = 1) {
    crowd.finish();
    CHECK(crowd.lost.load() == 0);
    CHECK(crowd.turned_back.load() <= 2 * upgrades);
  }
};

TEST_CASE_FIXTURE(
    Upgrade,
    "under load the successor serves once it is ready, the predecessor exits, and no request is lost") {
  crowd.wait_for(50);
  CHECK(requests_of(successor_admin) == 0);  // not asked yet: the predecessor serves
  ask_until(successor_admin, "readyz", kSuccess);
  predecessor->tell(SIGTERM);
  CHECK(predecessor->until("shutdown begins: successor=yes"));
  CHECK(ask(predecessor_admin, "readyz").rfind(kSuccess, 0) != 0);  // a failure, or it has exited already
  CHECK(predecessor->until("ended"));
  CHECK(predecessor->ended() == 0);
  crowd.wait_for(50);
  check();
  CHECK(requests_of(successor_admin) > 0);
  CHECK(figure(successor_admin, "in_flight") == 0);
}

// The successor is killed while its gate is closed. The predecessor must not lose a request by it.
TEST_CASE_FIXTURE(Upgrade, "a successor that dies before it is ready costs no request") {
  successor->tell(SIGKILL);
  CHECK(successor->ended() == -SIGKILL);
  crowd.wait_for(100);
  check();
  CHECK(crowd.turned_back == 0);
}

// The successor is killed after its readyz succeeded. Only requests that it had accepted may fail; the
// predecessor is told to end then and must see that nobody else serves.
TEST_CASE_FIXTURE(
    Upgrade,
    "a successor that dies once it is ready loses only its own requests; the predecessor serves on") {
  ask_until(successor_admin, "readyz", kSuccess);
  successor->tell(SIGKILL);
  CHECK(successor->ended() == -SIGKILL);
  crowd.wait_for(100);
  CHECK(ask(predecessor_admin, "readyz").rfind(kSuccess, 0) == 0);
  predecessor->tell(SIGTERM);
  CHECK(predecessor->until("shutdown begins: successor=no"));
  crowd.finish();
}

// The predecessor is killed before anybody asked the successor for readyz. Without its own check of the group
// it would never open its gate.
TEST_CASE_FIXTURE(Upgrade, "a successor that nobody asks serves once the predecessor was killed") {
  predecessor->tell(SIGKILL);
  CHECK(predecessor->ended() == -SIGKILL);
  crowd.wait_for(100);
  CHECK(requests_of(successor_admin) > 0);
}

// SIGTERM reaches the predecessor before the successor is ready. It must not stop accepting at once, as
// nobody else does yet.
TEST_CASE_FIXTURE(Upgrade,
                  "a predecessor that is terminated before the successor is ready hands over all the same") {
  predecessor->tell(SIGTERM);
  CHECK(predecessor->until("shutdown begins: successor=no"));
  CHECK(predecessor->until("ended"));
  CHECK(predecessor->ended() == 0);
  crowd.wait_for(50);
  CHECK(requests_of(successor_admin) > 0);
  check();
}

// Both processes get SIGTERM. Neither may count on the other for its open requests.
TEST_CASE_FIXTURE(Upgrade, "when both are terminated each answers its open requests and exits with 0") {
  ask_until(successor_admin, "readyz", kSuccess);
  predecessor->tell(SIGTERM);
  CHECK(predecessor->until("shutdown begins: successor=yes"));
  successor->tell(SIGTERM);
  CHECK(successor->until("shutdown begins: successor=no"));
  crowd.finish();
  CHECK(predecessor->ended() == 0);
  CHECK(successor->ended() == 0);
}

TEST_CASE_FIXTURE(Upgrade, "in an upgrade within an upgrade the third process serves and the others exit") {
  ask_until(successor_admin, "readyz", kSuccess);
  predecessor->tell(SIGTERM);
  const auto third = start();
  const auto third_admin = third->operators();
  ask_until(third_admin, "readyz", kSuccess);
  successor->tell(SIGTERM);
  CHECK(successor->until("shutdown begins: successor=yes"));
  CHECK(predecessor->ended() == 0);
  CHECK(successor->ended() == 0);
  crowd.wait_for(50);
  check(2);
  CHECK(requests_of(third_admin) > 0);
}

bool has_restored_state(const Program& program) {
  return program.said().find("learned state restored: engines=1 ") != std::string::npos;
}

TEST_CASE_FIXTURE(Upgrade, "a successor starts with the learned state, and so does one after a kill") {
  CHECK(has_restored_state(*successor));
  CHECK_FALSE(has_restored_state(*predecessor));
  predecessor->tell(SIGKILL);
  CHECK(predecessor->ended() == -SIGKILL);
  crowd.wait_for(50);  // by the successor, which is alone now
  successor->tell(SIGKILL);
  CHECK(successor->ended() == -SIGKILL);
  const auto third = start();
  ask_until(third->operators(), "readyz", kSuccess);
  CHECK(has_restored_state(*third));
  crowd.wait_for(20);
  crowd.finish();  // while somebody serves
}

// The snapshot file holds noise. The process must start all the same, and say so once.
TEST_CASE("a corrupt snapshot is logged in one line, and the process starts without it") {
  Site site;
  std::ofstream(site.folder.path() + "/yokestream-learnt") << "noise of another life";
  const auto program = site.start();
  ask_until(program->operators(), "readyz", kSuccess);
  const std::string words = "learned state of another process rejected: cause=\"it is of another form\"";
  const auto at = program->said().find(words);
  CHECK(at != std::string::npos);
  CHECK(program->said().find(words, at + 1) == std::string::npos);
  Crowd crowd(site.clients.endpoint, 2);
  crowd.wait_for(20);
}

// The group's file holds noise and a process of the group was killed. Neither may count as a peer.
TEST_CASE("noise in the shared file and a killed process do not keep another from serving") {
  Site site;
  std::ofstream(site.folder.path() + "/yokestream-processes") << "noise of another life";
  {
    const auto dead = site.start();
    dead->operators();
    dead->tell(SIGKILL);
    dead->ended();
  }
  const auto program = site.start();
  ask_until(program->operators(), "readyz", kSuccess);
  Crowd crowd(site.clients.endpoint, 2);
  crowd.wait_for(20);
}

TEST_CASE("a wrong inherited socket or setting is named in one message, with exit status 1") {
  Site site;
  Folder other;
  const auto fails = [&](const std::string& config, int listener,
                         std::map<std::string, std::string> environment, const std::string& names) {
    Program program(site.folder, config, listener, std::move(environment));
    CHECK(program.until(names));
    CHECK(program.ended() == 1);
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
