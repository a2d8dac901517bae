// The writes of one connection (Sender), and the rate limiter of its reads.
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

// A sender whose peer a poller of its own writes to while it is slow.
struct Sending {
  explicit Sending(std::size_t bound);
  SocketPair pair;
  net::Poller slow_writer_poller{"writer"};
  std::shared_ptr<net::Sender<struct Written>> sender;
};

struct Written {  // an item of a sender: a text that stands `times` times
  int number = 0;
  std::size_t times = 1;
};
std::string serialize(const Written& item) {
  std::string out;
  for (std::size_t i = 0; i < item.times; ++i) out += "<" + std::to_string(item.number) + ">";
  return out;
}

Sending::Sending(std::size_t bound)
    : sender(std::make_shared<net::Sender<Written>>(bound, pair.socket, serialize,
                                                    [this] { slow_writer_poller.add(sender); })) {}

TEST_CASE("an expired item is never written, and withdraw() finds it as never sent; the others are written") {
  SocketPair pair;
  const auto expiry_of = [](const Written& item) { return item.number == 2 ? Time{} : Time::max(); };
  net::Sender<Written> sender(
      1000, pair.socket, serialize, [] {}, {}, expiry_of);
  for (int n = 1; n <= 3; ++n) CHECK(sender.add({n}, 10));
  CHECK(sender.is_idle() == false);  // not up yet
  sender.open();
  CHECK(sender.is_idle());
  CHECK(pair.peer.read_until("<1><3>"));
  const auto is = [](int n) { return [n](const Written& i) { return i.number == n; }; };
  CHECK_FALSE(sender.withdraw(is(1)));
  CHECK(sender.withdraw(is(2)));
  CHECK_FALSE(sender.withdraw(is(2)));
}

TEST_CASE("withdraw() finds a request of which the socket has accepted nothing") {
  Sending sending(1000);
  SocketPair& pair = sending.pair;
  auto& sender = *sending.sender;
  const auto is = [](int n) { return [n](const Written& i) { return i.number == n; }; };
  CHECK(sender.add({1}, 10));  // not up yet
  CHECK(sender.withdraw(is(1)));
  sender.open();
  CHECK(sender.add({2}, 10));
  CHECK_FALSE(sender.withdraw(is(2)));  // it has left
  pair.socket.abort();
  CHECK_FALSE(sender.add({3}, 10));
  CHECK(sender.withdraw(is(3)));
  sender.close();
  CHECK_FALSE(sender.add({4}, 10));
  CHECK(sender.withdraw(is(4)));
  CHECK(pair.peer.read_until("<2>"));
}

// Found on the bench: the link was reset between its opening and the first write, and the loop held the lock.
TEST_CASE("a connection that breaks before its queued items are written gives them back without a deadlock") {
  Sending sending(1000);
  SocketPair& pair = sending.pair;
  auto& sender = *sending.sender;
  CHECK(sender.add({1}, 10));
  CHECK(sender.add({2}, 10));
  pair.socket.abort();
  sender.open();
  for (int n = 1; n <= 2; ++n) CHECK(sender.withdraw([n](const Written& i) { return i.number == n; }));
}

TEST_CASE("add() never waits for a slow peer, all is written in order, and over the bound it is rejected") {
  Sending sending(2000);
  SocketPair& pair = sending.pair;
  auto& sender = *sending.sender;
  sender.open();
  CHECK(sender.is_idle());
  const std::size_t large = 200'000;  // more than any socket takes
  CHECK(sender.add({1, large}, 1000));
  CHECK_FALSE(sender.is_idle());
  for (int i = 2; i <= 3; ++i) CHECK(sender.add({i}, 900));
  CHECK_FALSE(sender.add({4}, 900));
  sender.close_after_writes();
  CHECK(pair.peer.read_until("<1><2><3>"));
  CHECK_FALSE(pair.peer.read_until("<4>"));  // and the connection ends
}

}  // namespace
}  // namespace yokestream::test
