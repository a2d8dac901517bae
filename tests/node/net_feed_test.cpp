// discovery::DiscoveryWatcher on real sockets: silence, incomplete events, addresses that change quickly, a
// busy dispatcher.
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

#include "net_fault_injection.h"
#include "net_test_peers.h"

namespace yokestream::test {
namespace {

constexpr const char* kGood = "HTTP/1.1 200 OK\r\n\r\n";

std::string state_event(int number, const std::string& uid, const config::Endpoint& at, const char* state) {
  std::string text = encode_feed_event(number, uid, at);
  return text.replace(text.find("\"up\""), 4, "\"" + std::string(state) + "\"");
}

int number_of(const net::LoopEvent& event) {
  return static_cast<int>(
      std::get<dispatch::EngineListChanged>(std::get<dispatch::Event>(event)).event.number);
}

struct Watching {
  TestListener first, second;
  TestLog log;
  net::DispatcherQueue event_queue{1};  // holds one event: the next one waits
};

// A reload joined the watcher's thread, which waited for the dispatcher to take an event: neither went on.
TEST_CASE_FIXTURE(
    Watching,
    "a new address is accepted while the watcher waits for a busy dispatcher, and no event is posted twice") {
  discovery::DiscoveryWatcher watcher(first.endpoint, 1, 7, event_queue, log);
  TestPeer old = first.accept();
  REQUIRE(old.read_until("Last-Event-ID: 1\r\n"));
  old.send(kGood + encode_feed_event(2, "e2", first.endpoint) + encode_feed_event(3, "e3", first.endpoint) +
           encode_feed_event(4, "e4", first.endpoint));
  while (event_queue.blocked_producers() == 0)
    std::this_thread::yield();     // the watcher holds an event that the queue has no room for
  watcher.watch(second.endpoint);  // returns though nobody takes an event
  // The event that it holds is posted; then it asks the new address for what follows the last one posted.
  std::vector<int> numbers;
  std::optional<TestPeer> next;
  Fd accepted;
  std::atomic<bool> came{false};
  net::Thread accepting("accepting", net::kSmallStackBytes, [&] {
    accepted = Fd(::accept(second.fd.get(), nullptr, nullptr));
    came = true;
  });
  while (!came) {
    for (const auto& event : event_queue.drain_until(net::now() + 5ms)) numbers.push_back(number_of(event));
  }
  accepting.join();
  for (const auto& event : event_queue.drain_until(net::now())) numbers.push_back(number_of(event));
  REQUIRE_FALSE(numbers.empty());
  for (std::size_t i = 0; i < numbers.size(); ++i) CHECK(numbers[i] == static_cast<int>(i) + 2);
  next.emplace(std::move(accepted));
  CHECK(next->read_until("Last-Event-ID: " + std::to_string(numbers.back()) + "\r\n"));
  event_queue.close();
}

TEST_CASE(
    "after addresses in quick succession and half an event the last address is watched, and clients are "
    "served") {
  TestListener engine, other_engine, old_feed, new_feed;
  RunningServer running(engine.endpoint, &old_feed.endpoint);
  TestPeer first = old_feed.accept();
  REQUIRE(first.read_until("\r\n\r\n"));
  const std::string half = state_event(2, "e1", engine.endpoint, "draining");
  first.send(kGood + half.substr(0, half.size() / 2));
  auto changed = running.config;
  for (int i = 0; i < 60; ++i) {
    changed.feed = i % 2 == 0 ? new_feed.endpoint : old_feed.endpoint;
    running.server->reload(changed);
  }
  changed.feed = new_feed.endpoint;
  running.server->reload(changed);
  std::unique_ptr<TestPeer> second(new TestPeer(new_feed.accept()));
  while (!second->read_until("Last-Event-ID: 1\r\n"))  // one that was left again
    second.reset(new TestPeer(new_feed.accept()));
  TestPeer client(running.server->endpoint());
  client.send(encode_request(1, "0123456789abcde1", "select 1"));
  TestPeer link = engine.accept();
  CHECK(link.read_until("0123456789abcde1"));  // half an event has changed nothing
}

// A feed connection fell silent without closing. Its engine got a request long after the list said that it
// drains.
TEST_CASE("a silent connection is replaced, and the draining state that it missed is applied") {
  TestListener engine, feed;
  RunningServer running(engine.endpoint, &feed.endpoint);
  TestPeer silent = feed.accept();
  REQUIRE(silent.read_until("\r\n\r\n"));
  silent.send(std::string(kGood) + ": alive\n");
  TestPeer next = feed.accept();  // by itself, though the first one stays open
  REQUIRE(next.read_until("Last-Event-ID: 1\r\n"));
  next.send(kGood + state_event(2, "e1", engine.endpoint, "draining"));
  TestPeer third(running.server->endpoint());
  // The dispatcher has the event once the watcher asks for the one after it.
  next.socket.abort();
  TestPeer after = feed.accept();
  REQUIRE(after.read_until("Last-Event-ID: 2\r\n"));
  third.send(encode_request(1, "0123456789abcde1", "select 1"));
  REQUIRE(third.read_until("Shed"));
  TestPeer probe(engine.endpoint);  // nobody else has come to the engine
  TestPeer came = engine.accept();
  probe.send("mine");
  CHECK(came.read_until("mine"));
}

// ---- two configurations in one process

TEST_CASE(
    "two managers of other configurations in one process share nothing: classes by name, in their own "
    "order") {
  TestListener engine, other;
  RunningServer running(engine.endpoint);
  std::string text = config_text("127.0.0.1:0", to_string(other.endpoint));
  const auto look = text.find("\"look\""), load = text.find("\"load\"");
  text.replace(look, 6, "\"load\"")
      .replace(load, 6, "\"scan\"");  // another order, another name, another effect
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
  // One that may run twice in one of them, and in the other must not: its connection is reset.
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
