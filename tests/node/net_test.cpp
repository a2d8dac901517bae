// The drivers on loopback: everything waits for what must come, nothing for a time.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "net_fault_injection.h"
#include "net_test_peers.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(OneRequestInFlight,
                  "a request goes to the engine and its rows come back; one the engines can't use does not") {
  link.send("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.read_until("a\tb\tc\n"));
  client.send(encode_request(2, "0123456789abcde0", std::string("select\0", 7)));
  CHECK(client.read_until("no text"));
}

// Five requests of one client, each with the answer of an engine.
void serve_five() {
  TestListener engine;
  RunningServer running(engine.endpoint);
  TestPeer client(running.server->endpoint());
  std::unique_ptr<TestPeer> link;
  for (int number = 1; number <= 5; ++number) {
    const std::string id = "0123456789abcde" + std::to_string(number);
    client.send(encode_request(number, id, "select " + std::to_string(number)));
    if (!link) link.reset(new TestPeer(engine.accept()));
    REQUIRE(link->read_until("select " + std::to_string(number)));
    link->send("*4\r\n$16\r\n" + id + "\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\t" +
               std::to_string(number) + "\n\r\n");
    REQUIRE(client.read_until("a\tb\t" + std::to_string(number)));
  }
}

TEST_CASE(
    "a client served twice gets a reader of its own, and is served on after that and once it was idle") {
  serve_five();
}

// Its reader took the end of such a wait for the end of the connection, and closed it on its open requests.
TEST_CASE("a bounded wait that the kernel ends before its time ends no connection") {
  bounded_waits_end_early = true;
  serve_five();
  bounded_waits_end_early = false;
}

auto threads() { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); }

TEST_CASE("a crowd of silent clients costs no thread, and a usual client is served beside it") {
  TestListener engine;
  RunningServer running(engine.endpoint);
  TestPeer probe(running.server->endpoint());
  probe.send(std::string("\x94\x00\x07\xa5probe\x91\x80", 11));
  REQUIRE(probe.read_until("\xc3"));
  const auto before = threads();
  std::vector<std::unique_ptr<TestPeer>> crowd;
  for (int i = 0; i < 60; ++i) {
    crowd.push_back(std::make_unique<TestPeer>(running.server->endpoint()));
    crowd.back()->send("\x94");  // the start of a request, never finished
  }
  TestPeer client(running.server->endpoint());
  client.send(encode_request(1, "0123456789abcdef", "select 1"));
  TestPeer link = engine.accept();
  REQUIRE(link.read_until("select 1"));
  CHECK(threads() <= before);  // the link costs none either
}

// Found on the bench: the core waited for the listener's thread, and what was open found no answer.
TEST_CASE_FIXTURE(OneRequestInFlight,
                  "a manager told to end answers what is open and ends, though nobody comes any more") {
  running.server->begin_shutdown();
  CHECK(client.read_until("Shed"));
  running.server->wait();
}

TEST_CASE(
    "engine connections cost no thread each, and the end of each is reported, also of one never connected") {
  TestListener engine, gone;
  net::DispatcherQueue event_queue(200);
  const std::vector<std::string> fields;
  metrics::Metrics metrics({});
  net::Poller engine_poller("engines"), slow_writer_poller("writer");
  const auto before = threads();
  std::vector<std::shared_ptr<net::EngineConnection>> links;
  const auto open = [&](const config::Endpoint& at) {
    const dispatch::EngineConnectionId id{static_cast<std::uint64_t>(links.size())};
    links.push_back(std::make_shared<net::EngineConnection>(id, at, Time::max(), fields, event_queue,
                                                            slow_writer_poller, metrics));
    engine_poller.add(links.back());
  };
  std::vector<std::unique_ptr<TestPeer>> ends;
  for (int i = 0; i < 40; ++i) {
    open(engine.endpoint);
    ends.emplace_back(new TestPeer(engine.accept()));
    links.back()->send_command("*2\r\n$4\r\nHELO\r\n$1\r\n1\r\n");
    CHECK(ends.back()->read_until("HELO"));
  }
  CHECK(threads() == before);
  const config::Endpoint nobody = gone.endpoint;
  gone.fd = Fd();
  open(nobody);
  ends.clear();
  std::size_t up = 0, ended = 0;
  while (ended < links.size()) {
    for (const auto& event : event_queue.drain_until(Time::max())) {
      const auto& told = std::get<dispatch::Event>(event);
      up += std::holds_alternative<dispatch::EngineConnected>(told);
      ended += std::holds_alternative<dispatch::EngineDisconnected>(told);
    }
  }
  CHECK(up == 40);
}

TEST_CASE("a client whose message is too long or no message is closed, and no other") {
  TestListener engine;
  RunningServer running(engine.endpoint);
  TestPeer other(running.server->endpoint());
  for (const std::string bytes : {"\x05", "\x94\xc6\x7f\xff\xff\xff", "\x93\x02\xa4what\x90"}) {
    TestPeer bad(running.server->endpoint());
    bad.send(bytes);
    CHECK_FALSE(bad.read_until("anything"));
  }
  other.send(std::string("\x94\x00\x07\xa5probe\x91\x80", 11));
  CHECK(other.read_until("\xc3"));
}

TEST_CASE("a new configuration moves the feed's follower, and the numbers carry on") {
  TestListener engine, old_feed, new_feed;
  RunningServer running(engine.endpoint, &old_feed.endpoint);
  TestPeer first = old_feed.accept();
  REQUIRE(first.read_until("Last-Event-ID: 1\r\n"));
  first.send("HTTP/1.1 200 OK\r\n\r\n" + encode_feed_event(2, "e2", engine.endpoint) +
             encode_feed_event(2, "e2", engine.endpoint));
  auto changed = running.config;
  changed.feed = new_feed.endpoint;
  running.server->reload(changed);
  TestPeer second = new_feed.accept();
  REQUIRE(second.read_until("Last-Event-ID: "));
  CHECK(second.read_until("\r\n\r\n"));
  CHECK_FALSE(first.read_until("anything"));
}

TEST_CASE("the program lives on after SIGHUP, with a good new file or a bad one, and ends well on SIGTERM") {
  char folder[] = "/tmp/yokestream-XXXXXX";
  REQUIRE(::mkdtemp(folder));
  const std::string path = std::string(folder) + "/config.json";
  std::ofstream(path) << config_text();
  int out[2];
  REQUIRE(::pipe(out) == 0);
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(out[1], 2);
    ::execl(YOKESTREAM_PROGRAM, "yokestream", "serve", "-c", path.c_str(), nullptr);
    ::_exit(127);
  }
  ::close(out[1]);
  std::FILE* notes = ::fdopen(out[0], "r");
  const auto until = [&](const std::string& what) {
    char line[512];
    while (std::fgets(line, sizeof line, notes)) {
      if (std::string(line).find(what) != std::string::npos) return true;
    }
    return false;
  };
  CHECK(until("serves on"));
  ::kill(child, SIGHUP);
  CHECK(until("took in the new configuration"));
  std::ofstream(path) << "{";
  ::kill(child, SIGHUP);
  CHECK(until("not taken"));
  ::kill(child, SIGTERM);
  CHECK(until("ended"));
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK(status == 0);
  std::fclose(notes);
  ::unlink(path.c_str());
  ::rmdir(folder);
}

}  // namespace
}  // namespace yokestream::test
