// The control feed on real sockets: silence, half events, new addresses in quick succession, a core that is
// busy.
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

int number_of(const net::DriverEvent& event) {
  return static_cast<int>(
      std::get<dispatch::EngineListChanged>(std::get<dispatch::Event>(event)).event.number);
}

struct Following {
  Listening first, second;
  Notes log;
  net::Inbox inbox{1};  // holds one event: the next one waits
};

// The core joined the follower, which waited for the core to take an event: neither went on.
TEST_CASE_FIXTURE(
    Following, "a new address is taken while the follower waits for a busy core, and nothing is told twice") {
  net::FeedFollower follower(first.at, 1, 7, inbox, log);
  Peer old = first.accept();
  REQUIRE(old.until("Last-Event-ID: 1\r\n"));
  old.say(kGood + event(2, "e2", first.at) + event(3, "e3", first.at) + event(4, "e4", first.at));
  while (inbox.blocked_writers() == 0)
    std::this_thread::yield();  // the follower holds an event that has no room
  follower.follow(second.at);   // returns though nobody takes anything
  // What it holds goes on; then it asks the new address for what follows the last that it posted.
  std::vector<int> told;
  std::optional<Peer> next;
  Fd accepted;
  std::atomic<bool> came{false};
  net::Thread accepting("accepting", net::kSmallStack, [&] {
    accepted = Fd(::accept(second.fd.get(), nullptr, nullptr));
    came = true;
  });
  while (!came) {
    for (const auto& event : inbox.drain_until(net::now() + 5ms)) told.push_back(number_of(event));
  }
  accepting.join();
  for (const auto& event : inbox.drain_until(net::now())) told.push_back(number_of(event));
  REQUIRE_FALSE(told.empty());
  for (std::size_t i = 0; i < told.size(); ++i) CHECK(told[i] == static_cast<int>(i) + 2);
  next.emplace(std::move(accepted));
  CHECK(next->until("Last-Event-ID: " + std::to_string(told.back()) + "\r\n"));
  inbox.close();
}

TEST_CASE(
    "addresses in quick succession, an old watch half read: the last one is followed, all else still "
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

// Its engine got a request long after the list had told that it drains.
TEST_CASE("a watch that falls silent is given up, and the drain that it hid is heeded") {
  Listening engine, feed;
  Running running(engine.at, &feed.at);
  Peer silent = feed.accept();
  REQUIRE(silent.until("\r\n\r\n"));
  silent.say(std::string(kGood) + ": alive\n");
  Peer next = feed.accept();  // by itself, though the first one stays open
  REQUIRE(next.until("Last-Event-ID: 1\r\n"));
  next.say(kGood + state_event(2, "e1", engine.at, "draining"));
  Peer third(running.server->endpoint());
  // The core has heard of it once the follower asks no more for it.
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

// ---- two configurations beside each other in one process

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
  second.leave();
  second.wait();
}

}  // namespace
}  // namespace yokestream::test
