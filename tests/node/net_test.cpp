// Tests of the server and its connections on loopback. They wait for expected events, never for a fixed time.
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

TEST_CASE_FIXTURE(
    OneRequestInFlight,
    "a request is sent to the engine and its rows are returned; a statement that is not text is rejected") {
  link.send("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.read_until("a\tb\tc\n"));
  client.send(encode_request(2, "0123456789abcde0", std::string("select\0", 7)));
  CHECK(client.read_until("no text"));
}

// Sends five requests of one client, each answered by the engine.
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
    "a client that is served repeatedly gets its own reader thread and is served further, also after it was "
    "idle") {
  serve_five();
}

// Guards against a reader that takes the early end of a bounded wait for the end of the connection: it closed
// the connection although requests were open.
TEST_CASE("a bounded wait that the kernel ends early does not close the connection") {
  bounded_waits_end_early = true;
  serve_five();
  bounded_waits_end_early = false;
}

auto threads() { return std::distance(std::filesystem::directory_iterator("/proc/self/task"), {}); }

TEST_CASE("many silent clients use no thread, and another client is served meanwhile") {
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
  CHECK(threads() <= before);  // the engine connection uses none either
}

// Guards against a shutdown in which the dispatcher waits for the listener's thread: open requests got no
// response.
TEST_CASE_FIXTURE(
    OneRequestInFlight,
    "a manager that shuts down answers open requests and ends, even if no client connects any more") {
  running.server->begin_shutdown();
  CHECK(client.read_until("Shed"));
  running.server->wait();
}

TEST_CASE(
    "engine connections use no thread each, and the end of each is reported, even if it never connected") {
  TestListener engine, closed_listener;
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
  std::vector<std::unique_ptr<TestPeer>> engine_sides;
  for (int i = 0; i < 40; ++i) {
    open(engine.endpoint);
    engine_sides.emplace_back(new TestPeer(engine.accept()));
    links.back()->send_command("*2\r\n$4\r\nHELO\r\n$1\r\n1\r\n");
    CHECK(engine_sides.back()->read_until("HELO"));
  }
  CHECK(threads() == before);
  const config::Endpoint unused_endpoint = closed_listener.endpoint;
  closed_listener.fd = Fd();
  open(unused_endpoint);
  engine_sides.clear();
  std::size_t connected = 0, disconnected = 0;
  while (disconnected < links.size()) {
    for (const auto& event : event_queue.drain_until(Time::max())) {
      const auto& dispatch_event = std::get<dispatch::Event>(event);
      connected += std::holds_alternative<dispatch::EngineConnected>(dispatch_event);
      disconnected += std::holds_alternative<dispatch::EngineDisconnected>(dispatch_event);
    }
  }
  CHECK(connected == 40);
}

TEST_CASE("only a client that sends an oversized or invalid message is closed") {
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

TEST_CASE("a new configuration moves the feed watcher to the new address, and event numbers continue") {
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

TEST_CASE(
    "the program keeps running after SIGHUP with a valid or an invalid file, and exits with 0 on SIGTERM") {
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
  std::FILE* stderr_stream = ::fdopen(out[0], "r");
  const auto read_until_line = [&](const std::string& what) {
    char line[512];
    while (std::fgets(line, sizeof line, stderr_stream)) {
      if (std::string(line).find(what) != std::string::npos) return true;
    }
    return false;
  };
  CHECK(read_until_line("serves on"));
  ::kill(child, SIGHUP);
  CHECK(read_until_line("took in the new configuration"));
  std::ofstream(path) << "{";
  ::kill(child, SIGHUP);
  CHECK(read_until_line("not taken"));
  ::kill(child, SIGTERM);
  CHECK(read_until_line("ended"));
  int status = 0;
  ::waitpid(child, &status, 0);
  CHECK(status == 0);
  std::fclose(stderr_stream);
  ::unlink(path.c_str());
  ::rmdir(folder);
}

}  // namespace
}  // namespace yokestream::test
