// Tests of discovery::DiscoveryWatcher on real sockets: silent connections, incomplete events, quick changes
// of the address, a busy dispatcher.
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

#include "net_fault_injection.h"
#include "net_test_peers.h"

namespace yokestream::test {
namespace {

constexpr const char* kHttpOk = "HTTP/1.1 200 OK\r\n\r\n";

std::string state_event(int number, const std::string& uid, const config::Endpoint& at, const char* state) {
  std::string text = encode_feed_event(number, uid, at);
  return text.replace(text.find("\"up\""), 4, "\"" + std::string(state) + "\"");
}

int number_of(const net::LoopEvent& event) {
  return static_cast<int>(
      std::get<dispatch::EngineListChanged>(std::get<dispatch::Event>(event)).event.number);
}

struct WatcherFixture {
  TestListener first, second;
  TestLog log;
  net::DispatcherQueue event_queue{1};  // holds one event, so posting another one blocks
};

// Guards against a deadlock: a reload joined the watcher's thread while that thread waited for the dispatcher
// to take an event.
TEST_CASE_FIXTURE(
    WatcherFixture,
    "a new address is accepted while the watcher waits for a busy dispatcher, and no event is posted twice") {
  discovery::DiscoveryWatcher watcher(first.endpoint, 1, 7, event_queue, log);
  TestPeer old_connection = first.accept();
  REQUIRE(old_connection.read_until("Last-Event-ID: 1\r\n"));
  old_connection.send(kHttpOk + encode_feed_event(2, "e2", first.endpoint) +
                      encode_feed_event(3, "e3", first.endpoint) +
                      encode_feed_event(4, "e4", first.endpoint));
  while (event_queue.blocked_producers() == 0)
    std::this_thread::yield();     // the watcher blocks on an event that the queue has no room for
  watcher.watch(second.endpoint);  // returns although no event is taken
  // The pending event is posted; then the watcher requests the events after it from the new address.
  std::vector<int> numbers;
  std::optional<TestPeer> next_connection;
  Fd accepted;
  std::atomic<bool> accepted_connection{false};
  net::Thread accepting("accepting", net::kSmallStackBytes, [&] {
    accepted = Fd(::accept(second.fd.get(), nullptr, nullptr));
    accepted_connection = true;
  });
  while (!accepted_connection) {
    for (const auto& event : event_queue.drain_until(net::now() + 5ms)) numbers.push_back(number_of(event));
  }
  accepting.join();
  for (const auto& event : event_queue.drain_until(net::now())) numbers.push_back(number_of(event));
  REQUIRE_FALSE(numbers.empty());
  for (std::size_t i = 0; i < numbers.size(); ++i) CHECK(numbers[i] == static_cast<int>(i) + 2);
  next_connection.emplace(std::move(accepted));
  CHECK(next_connection->read_until("Last-Event-ID: " + std::to_string(numbers.back()) + "\r\n"));
  event_queue.close();
}

TEST_CASE(
    "after quick changes of the address and an incomplete event the last address is watched and clients are "
    "served") {
  TestListener engine, other_engine, old_feed, new_feed;
  RunningServer running(engine.endpoint, &old_feed.endpoint);
  TestPeer first = old_feed.accept();
  REQUIRE(first.read_until("\r\n\r\n"));
  const std::string half = state_event(2, "e1", engine.endpoint, "draining");
  first.send(kHttpOk + half.substr(0, half.size() / 2));
  auto changed = running.config;
  for (int i = 0; i < 60; ++i) {
    changed.feed = i % 2 == 0 ? new_feed.endpoint : old_feed.endpoint;
    running.server->reload(changed);
  }
  changed.feed = new_feed.endpoint;
  running.server->reload(changed);
  std::unique_ptr<TestPeer> second(new TestPeer(new_feed.accept()));
  while (!second->read_until("Last-Event-ID: 1\r\n"))  // a connection of an earlier reload
    second.reset(new TestPeer(new_feed.accept()));
  TestPeer client(running.server->endpoint());
  client.send(encode_request(1, "0123456789abcde1", "select 1"));
  TestPeer link = engine.accept();
  CHECK(link.read_until("0123456789abcde1"));  // the incomplete event had no effect
}

// Guards against a feed connection that falls silent without closing: a request was sent to an engine long
// after the list had marked it as draining.
TEST_CASE("a silent connection is replaced, and the draining state that it missed is applied") {
  TestListener engine, feed;
  RunningServer running(engine.endpoint, &feed.endpoint);
  TestPeer silent = feed.accept();
  REQUIRE(silent.read_until("\r\n\r\n"));
  silent.send(std::string(kHttpOk) + ": alive\n");
  TestPeer next_connection =
      feed.accept();  // the watcher reconnects although the first connection stays open
  REQUIRE(next_connection.read_until("Last-Event-ID: 1\r\n"));
  next_connection.send(kHttpOk + state_event(2, "e1", engine.endpoint, "draining"));
  TestPeer third(running.server->endpoint());
  // Once the watcher requests the following event, it has posted this one.
  next_connection.socket.abort();
  TestPeer after = feed.accept();
  REQUIRE(after.read_until("Last-Event-ID: 2\r\n"));
  third.send(encode_request(1, "0123456789abcde1", "select 1"));
  REQUIRE(third.read_until("Shed"));
  TestPeer probe(engine.endpoint);  // no other connection to the engine was made before this one
  TestPeer engine_side = engine.accept();
  probe.send("mine");
  CHECK(engine_side.read_until("mine"));
}

// Guards against a feed that is never heard: it serves its callers in turn, and the watcher hung up before
// its turn and lost its place (review/8, docs/incidents/slow-discovery.md).
TEST_CASE_FIXTURE(WatcherFixture,
                  "a connection that waits for its first byte is kept while others are opened beside it" *
                      doctest::timeout(30)) {
  discovery::DiscoveryWatcher watcher(first.endpoint, 1, 7, event_queue, log);
  TestPeer oldest = first.accept();
  REQUIRE(oldest.read_until("Last-Event-ID: 1\r\n"));
  TestPeer second_caller = first.accept(), third_caller = first.accept();
  oldest.send(kHttpOk + encode_feed_event(2, "e2", first.endpoint));
  const auto events = event_queue.drain_until(net::now() + 5s);
  REQUIRE(events.size() == 1);
  CHECK(number_of(events[0]) == 2);
  CHECK_FALSE(second_caller.read_until("anything", net::now() + 5s));  // closed: the oldest one delivers
  CHECK_FALSE(third_caller.read_until("anything", net::now() + 5s));
  oldest.send(encode_feed_event(3, "e3", first.endpoint));
  CHECK(event_queue.drain_until(net::now() + 5s).size() == 1);
  event_queue.close();
}

TEST_CASE("while the feed is silent connections are opened after growing waits") {
  discovery::ReconnectSchedule schedule(7);
  Time now{1000s};
  CHECK((schedule.due() <= now));
  for (const Duration wait : {2200ms, 4400ms, 5000ms, 5000ms}) {
    schedule.on_opened(now);
    CHECK((schedule.due() == now + wait));
    now = schedule.due();
  }
  schedule.on_opened(now);
  schedule.on_ended(now, true);  // for example closed by a crowded feed
  CHECK((schedule.due() <= now + 150ms));
  CHECK((schedule.due() >= now + 50ms));
  schedule.on_opened(now);
  CHECK((schedule.due() == now + 5s));
  schedule.on_first_byte();
  CHECK((schedule.due() == Time::max()));
  schedule.on_ended(now, true);
  schedule.on_opened(now);
  CHECK((schedule.due() == now + 2200ms));
}

// ---- two servers with different configurations in one process

TEST_CASE(
    "two managers with different configurations in one process share nothing: classes go by name, each in "
    "its own order") {
  TestListener engine, other;
  RunningServer running(engine.endpoint);
  std::string text = config_text("127.0.0.1:0", to_string(other.endpoint));
  const auto look = text.find("\"look\""), load = text.find("\"load\"");
  text.replace(look, 6, "\"load\"").replace(load, 6, "\"scan\"");  // different order, names and idempotency
  const config::Config second_config = config::decode_config(text);
  TestLog log;
  net::Server second(second_config, log);
  TestPeer client(running.server->endpoint()), other_client(second.endpoint());
  client.send(encode_request(1, "0123456789abcde1", "select 1", "load"));
  other_client.send(encode_request(1, "0123456789abcde1", "select 2", "load"));
  TestPeer link = engine.accept(), other_link = other.accept();
  CHECK(link.read_until("profile=load"));
  CHECK(other_link.read_until("profile=load"));
  client.send(encode_request(2, "0123456789abcde2", "select 1", "scan"));
  CHECK(client.read_until("unknown class"));
  other_client.send(encode_request(2, "0123456789abcde2", "select 1", "look"));
  CHECK(other_client.read_until("unknown class"));
  // The class may be repeated in one manager and not in the other. Both engine connections are reset.
  link.socket.abort();
  other_link.socket.abort();
  CHECK(client.read_until("Fault"));
  TestPeer again = other.accept();
  CHECK(again.read_until("0123456789abcde1"));
  second.begin_shutdown();
  second.wait();
}

}  // namespace
}  // namespace yokestream::test
