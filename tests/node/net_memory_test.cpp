// Tests of the memory that clients make the process hold: net::ClientMemory, and sessions under a used-up
// budget.
#include <doctest/doctest.h>
#include <sys/ioctl.h>

#include "net/client_memory.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

constexpr std::size_t kBudgetBytes = 1 << 20;  // as in SessionFixture
// No client may make the process hold more than this once the budget is used up.
constexpr int kMaxBytesPerClient = 16 * 1024;

int unread_bytes(const SocketPair& pair) {
  int bytes = 0;
  REQUIRE(::ioctl(pair.socket.descriptor(), FIONREAD, &bytes) == 0);
  return bytes;
}

TEST_CASE("a client's charges beyond its allowance come from the budget, and return to it") {
  dispatch::Budget budget(100);
  net::ClientMemory memory(budget, 50);
  auto first = memory.try_charge(40);
  REQUIRE(first);
  CHECK(budget.reserved() == 0);
  auto second = memory.try_charge(60);
  REQUIRE(second);
  CHECK(budget.reserved() == 50);
  CHECK_FALSE(memory.try_charge(51));
  CHECK(budget.reserved() == 50);
  auto forced = memory.charge(60);  // more than the budget has left
  CHECK_FALSE(memory.try_charge(0));
  forced.shrink_to(0);
  first->shrink_to(0);
  CHECK(budget.reserved() == 10);
  net::ClientMemory::Charge part;
  part.take_from(*second, 25);
  second->shrink_to(0);
  CHECK(part.amount() == 25);
  CHECK(budget.reserved() == 0);
}

// Guards against a crowd of clients whose unhandled messages take the process over its memory limit
// (review/3, docs/incidents/memory-of-clients.md).
TEST_CASE(
    "while the budget is used up a client's input is bounded in bytes, and later all of it is handled") {
  SessionFixture fixture(0);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  for (const dispatch::CallId call : {1, 2}) session->send_result(call, {"row", {}});  // no rate limit
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, kBudgetBytes));
  const std::string statement(200, 'x');
  const int count = 100;
  std::string bytes;
  for (int number = 1; number <= count; ++number)
    bytes += encode_request(number, std::to_string(1000000000000000 + number), statement);
  pair.peer.send(bytes);
  const int sent = static_cast<int>(bytes.size());
  char first = 0;
  REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
  while (unread_bytes(pair) < sent) std::this_thread::yield();
  for (int i = 0; i < 20; ++i) session->on_ready(net::now(), true);
  CHECK(sent - unread_bytes(pair) <= kMaxBytesPerClient);
  int handled = 0;
  for (int i = 0; i < 10 * count && handled < count; ++i) {
    for (auto events = fixture.event_queue.drain_until(net::now()); !events.empty(); events.pop_front()) {
      session->release_message_credit();
      ++handled;
    }
    session->on_ready(net::now(), true);
  }
  CHECK(handled == count);
}

TEST_CASE("what a client has been sent and does not read counts against its memory") {
  SessionFixture fixture(0);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  const std::string cause(1000, 'x');
  for (dispatch::CallId call = 1; call <= 200; ++call) session->send_failure(call, cause);
  const std::size_t reserved = fixture.budget.reserved();
  pair.peer.send(encode_request(1, "0123456789abcdef", "select 1"));
  char first = 0;
  REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
  session->on_ready(net::now(), true);
  CHECK(fixture.budget.reserved() > reserved);
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, kBudgetBytes - fixture.budget.reserved()));
  pair.peer.send(encode_request(2, "0123456789abcde0", "select 2"));
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  for (int i = 0; i < 200; ++i) CHECK(pair.peer.read_until(cause));  // none of its responses is lost
}

}  // namespace
}  // namespace yokestream::test
