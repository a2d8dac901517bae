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

TEST_CASE("a client without a result leaves one half of the budget to the others") {
  dispatch::Budget budget(100);
  net::ClientMemory newcomer(budget, 10);
  net::ClientMemory served(budget, 10);
  served.on_served();
  CHECK_FALSE(newcomer.try_charge(61));
  const auto half = newcomer.try_charge(60);
  REQUIRE(half);
  CHECK_FALSE(newcomer.try_charge(1));
  CHECK(served.try_charge(60));
}

// Guards against the loss of a large request: a client that was not read for lack of memory was taken for one
// that had stopped writing (review/7, docs/incidents/starved-input.md).
TEST_CASE_FIXTURE(PausedClient, "a request that waits for memory beyond its time limit is read later" *
                                    doctest::timeout(30)) {
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, kBudgetBytes));
  const std::string bytes = encode_long_request(1, "0123456789abcdef", std::string(40'000, 'x'));
  client->send(bytes);
  wait_for_bytes(descriptor);
  const Time start = net::now();
  for (Time time = start; time < start + 15s; time += 500ms)
    CHECK((session->on_ready(time, false) == net::Pollable::PollResult::wait_until_due));
  CHECK(drain_event_count() == 0);
  rest = {};
  CHECK((session->on_ready(start + 15s, false) == net::Pollable::PollResult::wait_readable));
  CHECK(drain_event_count() == 1);
}

// Guards against requests that go on for a client that has left: the end of its connection was not read
// either.
TEST_CASE_FIXTURE(PausedClient,
                  "a client that leaves while it waits for memory is noticed" * doctest::timeout(30)) {
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, kBudgetBytes));
  client->send(encode_long_request(1, "0123456789abcdef", std::string(40'000, 'x')));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_until_due));
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::closed));
}

// Guards against a standstill: each of many clients holds a part of a large request, and none gets the memory
// for the rest.
TEST_CASE("large requests that exceed the budget together are all read, one after the other" *
          doctest::timeout(60)) {
  constexpr int kClients = 60;
  SessionFixture fixture(0);
  std::vector<std::unique_ptr<SocketPair>> pairs;
  std::vector<std::shared_ptr<net::ClientSession>> sessions;
  const auto encode = [](int number) {
    return encode_long_request(number, std::to_string(1000000000000000 + number), std::string(50'000, 'x'));
  };
  for (int number = 1; number <= kClients; ++number) {
    pairs.push_back(std::make_unique<SocketPair>());
    sessions.push_back(fixture.session(Fd(::dup(pairs.back()->socket.descriptor()))));
    pairs.back()->peer.send(encode(number).substr(0, 40'000));
    while (unread_bytes(*pairs.back()) < 40'000) std::this_thread::yield();
    sessions.back()->on_ready(net::now(), true);
  }
  CHECK(fixture.budget.reserved() <= kBudgetBytes);
  for (int number = 1; number <= kClients; ++number)
    pairs[static_cast<std::size_t>(number - 1)]->peer.send(encode(number).substr(40'000));
  int received = 0;
  for (Time time = net::now(); received < kClients && time < net::now() + 60s; time += 10ms) {
    for (const auto& session : sessions) session->on_ready(time, true);
    for (auto events = fixture.event_queue.drain_until(net::now()); !events.empty(); events.pop_front()) {
      const auto* request =
          std::get_if<dispatch::RequestReceived>(&std::get<dispatch::Event>(events.front()));
      if (!request) continue;
      sessions[request->call - 1]->release_message_credit();
      ++received;
    }
  }
  CHECK(received == kClients);
}

}  // namespace
}  // namespace yokestream::test
