// Client sessions: who reads them, what bounds them, when they may be closed.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include "net_fault_injection.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

// Found on the bench: on a machine out of threads such a client's connection was closed upon its open
// requests.
TEST_CASE(
    "a busy client for whom no reader thread can start is read by the client poller and loses nothing") {
  SessionFixture fixture(0);
  TestListener listening;
  TestPeer client(listening.endpoint);
  Fd fd(::accept(listening.fd.get(), nullptr, nullptr));
  const int descriptor = fd.get();
  const auto session = fixture.session(std::move(fd));
  for (int number = 1; number <= 5; ++number) {
    client.send(encode_request(number, "0123456789abcde" + std::to_string(number), "select 1"));
    char first = 0;
    REQUIRE(::recv(descriptor, &first, 1, MSG_PEEK) == 1);
    CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
    REQUIRE(fixture.event_queue.drain_until(Time::max()).size() == 1);
    session->release_message_credit();
    session->send_result(static_cast<dispatch::CallId>(number), {"row" + std::to_string(number), {}});
    CHECK(client.read_until("row" + std::to_string(number)));
  }
}

TEST_CASE("a client with a message unread, half read or unhandled is not closed as idle") {
  SessionFixture fixture(1);
  TestListener listening;
  TestPeer client(listening.endpoint);
  Fd fd(::accept(listening.fd.get(), nullptr, nullptr));
  client.send(encode_request(1, "0123456789abcdef", "select 1") + "\x94");  // and the start of a next one
  char first = 0;
  REQUIRE(::recv(fd.get(), &first, 1, MSG_PEEK) == 1);
  const auto session = fixture.session(std::move(fd));
  CHECK_FALSE(session->abort_if_idle());  // unread: nobody reads yet
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  CHECK(fixture.event_queue.drain_until(Time::max()).size() == 1);
  CHECK_FALSE(session->abort_if_idle());  // handed in, and not taken yet
  session->release_message_credit();
  CHECK_FALSE(session->abort_if_idle());        // half read
  CHECK((session->next_due() != Time::max()));  // it has until then to be whole
  // Stuck inside its message it is read no more, and what it has open is still answered.
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_until_due));
  const auto told = fixture.event_queue.drain_until(Time::max());
  REQUIRE(told.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(told[0])));
  client.send(encode_request(2, "0123456789abcde0", "select 2"));
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_until_due));
  CHECK(fixture.event_queue.drain_until(net::now()).empty());
  session->send_result(1, {"row1", {}});
  CHECK(client.read_until("row1"));
  session->close_after_writes();
  CHECK_FALSE(client.read_until("anything"));  // half closed: nothing follows
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::wait_until_due));
  CHECK((session->on_ready(net::now() + 1s, false) ==
         net::Pollable::PollResult::closed));  // though the client lingers
}

// The connection was closed while its earlier requests were still open, so they found no answer.
TEST_CASE("a client for whose next message there is no memory is read again once there is some") {
  SessionFixture fixture(1);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  const auto read = [&] {  // the first byte has come, and with it all that was written at once
    char first = 0;
    REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
    return session->on_ready(net::now(), true);
  };
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, (1 << 20) - 10));
  const std::string bytes = encode_request(1, "0123456789abcdef", "select 1");
  pair.peer.send(bytes.substr(0, 20));
  CHECK((read() == net::Pollable::PollResult::wait_until_due));
  CHECK((session->next_due() != Time::max()));
  rest = {};
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_readable));
  pair.peer.send(bytes.substr(20));
  CHECK((read() == net::Pollable::PollResult::wait_readable));
  CHECK(fixture.event_queue.drain_until(Time::max()).size() == 1);
}

TEST_CASE("bytes that arrive on an aborted connection are not read") {
  TestListener listening;
  TestPeer client(listening.endpoint);
  Socket accepted(Fd(::accept(listening.fd.get(), nullptr, nullptr)));
  client.send("late");
  char bytes[16];
  REQUIRE(::recv(accepted.descriptor(), bytes, 1, MSG_PEEK) == 1);  // it has come
  CHECK_FALSE(accepted.abort_if_nothing_unread([] { return true; }));
  accepted.abort();
  CHECK(accepted.try_read(bytes, sizeof bytes) == std::size_t{0});
}

// A writer thread of its own was started for it, and where none could be had the connection was closed.
TEST_CASE("a client that is slow to read gets all its responses though no thread can start") {
  exempt_from_faults = false;
  SessionFixture fixture(0);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  resource_failure_percent = 100;
  for (dispatch::CallId call = 1; call <= 40; ++call)
    session->send_result(call, {std::string(40'000, static_cast<char>('0' + call)), {}});
  resource_failure_percent = 0;
  CHECK_FALSE(session->abort_if_idle());
  for (char call = 1; call <= 40; ++call)
    CHECK(pair.peer.read_until(std::string(40'000, static_cast<char>('0' + call))));
}

}  // namespace
}  // namespace yokestream::test
