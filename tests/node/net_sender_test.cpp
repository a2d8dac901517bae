// Tests of net::Sender, which writes to one connection, and of the rate limiter for its reads.
#include <doctest/doctest.h>

#include "net/rate_limiter.h"
#include "net_test_peers.h"

namespace yokestream::test {
namespace {

TEST_CASE("beyond a burst messages are accepted at a steady rate") {
  net::RateLimiter limiter(3, 10ms);
  const Time start{1000s};
  for (int i = 0; i < 3; ++i) {
    CHECK((limiter.next_permitted(start) == start));
    limiter.record(start);
  }
  CHECK((limiter.next_permitted(start) == start + 10ms));
  CHECK((limiter.next_permitted(start + 10ms) == start + 10ms));
  limiter.record(start + 10ms);
  CHECK((limiter.next_permitted(start + 10ms) == start + 20ms));
}

// A sender with its own poller that writes while the peer reads slowly.
struct SenderFixture {
  explicit SenderFixture(std::size_t bound);
  SocketPair pair;
  net::Poller slow_writer_poller{"writer"};
  std::shared_ptr<net::Sender<struct TestItem>> sender;
};

struct TestItem {  // an item of a sender: a text that is repeated
  int number = 0;
  std::size_t repetitions = 1;
};
std::string serialize(const TestItem& item) {
  std::string out;
  for (std::size_t i = 0; i < item.repetitions; ++i) out += "<" + std::to_string(item.number) + ">";
  return out;
}

SenderFixture::SenderFixture(std::size_t bound)
    : sender(std::make_shared<net::Sender<TestItem>>(bound, pair.socket, serialize,
                                                     [this] { slow_writer_poller.add(sender); })) {}

TEST_CASE("an expired item is never written and can be withdrawn as unsent, and the others are written") {
  SocketPair pair;
  const auto expiry_of = [](const TestItem& item) { return item.number == 2 ? Time{} : Time::max(); };
  net::Sender<TestItem> sender(
      1000, pair.socket, serialize, [] {}, {}, expiry_of);
  for (int n = 1; n <= 3; ++n) CHECK(sender.add({n}, 10));
  CHECK(sender.is_idle() == false);  // not connected yet
  sender.open();
  CHECK(sender.is_idle());
  CHECK(pair.peer.read_until("<1><3>"));
  const auto is = [](int n) { return [n](const TestItem& i) { return i.number == n; }; };
  CHECK_FALSE(sender.withdraw(is(1)));
  CHECK(sender.withdraw(is(2)));
  CHECK_FALSE(sender.withdraw(is(2)));
}

TEST_CASE("withdraw() succeeds while the socket has accepted no byte of the item") {
  SenderFixture fixture(1000);
  SocketPair& pair = fixture.pair;
  auto& sender = *fixture.sender;
  const auto is = [](int n) { return [n](const TestItem& i) { return i.number == n; }; };
  CHECK(sender.add({1}, 10));  // not connected yet
  CHECK(sender.withdraw(is(1)));
  sender.open();
  CHECK(sender.add({2}, 10));
  CHECK_FALSE(sender.withdraw(is(2)));  // already written
  pair.socket.abort();
  CHECK_FALSE(sender.add({3}, 10));
  CHECK(sender.withdraw(is(3)));
  sender.close();
  CHECK_FALSE(sender.add({4}, 10));
  CHECK(sender.withdraw(is(4)));
  CHECK(pair.peer.read_until("<2>"));
}

// Guards against a deadlock when the connection is reset between open() and the first write: the loop held
// the lock.
TEST_CASE(
    "items queued on a connection that breaks before they are written can be withdrawn without a deadlock") {
  SenderFixture fixture(1000);
  SocketPair& pair = fixture.pair;
  auto& sender = *fixture.sender;
  CHECK(sender.add({1}, 10));
  CHECK(sender.add({2}, 10));
  pair.socket.abort();
  sender.open();
  for (int n = 1; n <= 2; ++n) CHECK(sender.withdraw([n](const TestItem& i) { return i.number == n; }));
}

TEST_CASE(
    "add() never blocks on a slow peer, items are written in order, and those over the limit are rejected") {
  SenderFixture fixture(2000);
  SocketPair& pair = fixture.pair;
  auto& sender = *fixture.sender;
  sender.open();
  CHECK(sender.is_idle());
  const std::size_t large = 200'000;  // more than the buffers of any socket hold
  CHECK(sender.add({1, large}, 1000));
  CHECK_FALSE(sender.is_idle());
  for (int i = 2; i <= 3; ++i) CHECK(sender.add({i}, 900));
  CHECK_FALSE(sender.add({4}, 900));
  sender.close_after_writes();
  CHECK(pair.peer.read_until("<1><2><3>"));
  CHECK_FALSE(pair.peer.read_until("<4>"));  // and the connection is closed
}

}  // namespace
}  // namespace yokestream::test
