// discovery::DiscoveryWatcher on real sockets: silence, incomplete events, addresses that change quickly, a
// busy dispatcher.
#include <doctest/doctest.h>

#include <atomic>
#include <optional>
#include <thread>

#include "net_peers.h"
#include "net_system.h"

namespace yokestream::test {
namespace {

constexpr const char* kGood = "HTTP/1.1 200 OK\r\n\r\n";

std::string state_event(int number, const std::string& uid, const config::Endpoint& at, const char* state) {
  std::string text = event(number, uid, at);
  return text.replace(text.find("\"up\""), 4, "\"" + std::string(state) + "\"");
}

int number_of(const net::LoopEvent& event) {
  return static_cast<int>(
      std::get<dispatch::EngineListChanged>(std::get<dispatch::Event>(event)).event.number);
}

struct Watching {
  Listening first, second;
  Notes log;
  net::DispatcherQueue inbox{1};  // holds one event: the next one waits
};

// A reload joined the watcher's thread, which waited for the dispatcher to take an event: neither went on.
TEST_CASE_FIXTURE(
    Watching,
    "a new address is accepted while the watcher waits for a busy dispatcher, and no event is posted twice") {
  discovery::DiscoveryWatcher watcher(first.at, 1, 7, inbox, log);
  Peer old = first.accept();
  REQUIRE(old.until("Last-Event-ID: 1\r\n"));
  old.say(kGood + event(2, "e2", first.at) + event(3, "e3", first.at) + event(4, "e4", first.at));
  while (inbox.blocked_producers() == 0)
    std::this_thread::yield();  // the watcher holds an event that the queue has no room for
  watcher.watch(second.at);     // returns though nobody takes an event
  // The event that it holds is posted; then it asks the new address for what follows the last one posted.
  std::vector<int> numbers;
  std::optional<Peer> next;
  Fd accepted;
  std::atomic<bool> came{false};
  net::Thread accepting("accepting", net::kSmallStackBytes, [&] {
    accepted = Fd(::accept(second.fd.get(), nullptr, nullptr));
    came = true;
  });
  while (!came) {
    for (const auto& event : inbox.drain_until(net::now() + 5ms)) numbers.push_back(number_of(event));
  }
  accepting.join();
  for (const auto& event : inbox.drain_until(net::now())) numbers.push_back(number_of(event));
  REQUIRE_FALSE(numbers.empty());
  for (std::size_t i = 0; i < numbers.size(); ++i) CHECK(numbers[i] == static_cast<int>(i) + 2);
  next.emplace(std::move(accepted));
  CHECK(next->until("Last-Event-ID: " + std::to_string(numbers.back()) + "\r\n"));
  inbox.close();
}

TEST_CASE(
    "after addresses in quick succession and half an event the last address is watched, and clients are "
    "served") {
  Listening engine, other_engine, old_feed, new_feed;
  Running running(engine.at, &old_feed.at);
  Peer first = old_feed.accept();
  REQUIRE(first.until("\r\n\r\n"));
  const std::string half = state_event(2, "e1", engine.at, "draining");
  first.say(kGood + half.substr(0, half.size() / 2));
  auto changed = running.config;
  for (int i = 0; i < 60; ++i) {
    changed.feed = i % 2 == 0 ? new_feed.at : old_feed.at;
    running.server->reload(changed);
  }
  changed.feed = new_feed.at;
  running.server->reload(changed);
  std::unique_ptr<Peer> second(new Peer(new_feed.accept()));
  while (!second->until("Last-Event-ID: 1\r\n"))  // one that was left again
    second.reset(new Peer(new_feed.accept()));
  Peer client(running.server->endpoint());
  client.say(call(1, "0123456789abcde1", "select 1"));
  Peer link = engine.accept();
  CHECK(link.until("0123456789abcde1"));  // half an event has changed nothing
}

// A feed connection fell silent without closing. Its engine got a request long after the list said that it
// drains.
TEST_CASE("a silent connection is replaced, and the draining state that it missed is applied") {
  Listening engine, feed;
  Running running(engine.at, &feed.at);
  Peer silent = feed.accept();
  REQUIRE(silent.until("\r\n\r\n"));
  silent.say(std::string(kGood) + ": alive\n");
  Peer next = feed.accept();  // by itself, though the first one stays open
  REQUIRE(next.until("Last-Event-ID: 1\r\n"));
  next.say(kGood + state_event(2, "e1", engine.at, "draining"));
  Peer third(running.server->endpoint());
  // The dispatcher has the event once the watcher asks for the one after it.
  next.socket.abort();
  Peer after = feed.accept();
  REQUIRE(after.until("Last-Event-ID: 2\r\n"));
  third.say(call(1, "0123456789abcde1", "select 1"));
  REQUIRE(third.until("Shed"));
  Peer probe(engine.at);  // nobody else has come to the engine
  Peer came = engine.accept();
  probe.say("mine");
  CHECK(came.until("mine"));
}

// ---- two configurations in one process

TEST_CASE(
    "two managers of other configurations in one process share nothing: classes by name, in their own "
    "order") {
  Listening engine, other;
  Running running(engine.at);
  std::string text = config_text("127.0.0.1:0", to_string(other.at));
  const auto look = text.find("\"look\""), load = text.find("\"load\"");
  text.replace(look, 6, "\"load\"")
      .replace(load, 6, "\"scan\"");  // another order, another name, another effect
  const config::Config second_config = config::decode_config(text);
  Notes log;
  net::Server second(second_config, log);
  Peer client(running.server->endpoint()), other_client(second.endpoint());
  client.say(call(1, "0123456789abcde1", "select 1", "load"));
  other_client.say(call(1, "0123456789abcde1", "select 2", "load"));
  Peer link = engine.accept(), other_link = other.accept();
  CHECK(link.until("profile=load"));
  CHECK(other_link.until("profile=load"));
  client.say(call(2, "0123456789abcde2", "select 1", "scan"));
  CHECK(client.until("unknown class"));
  other_client.say(call(2, "0123456789abcde2", "select 1", "look"));
  CHECK(other_client.until("unknown class"));
  // One that may run twice in one of them, and in the other must not: its connection is reset.
  link.socket.abort();
  other_link.socket.abort();
  CHECK(client.until("Fault"));
  Peer again = other.accept();
  CHECK(again.until("0123456789abcde1"));
  second.begin_shutdown();
  second.wait();
}

}  // namespace
}  // namespace yokestream::test
