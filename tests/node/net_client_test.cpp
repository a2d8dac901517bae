// Tests of net::ClientSession: which thread reads it, which limits apply, and when it may be closed.
#include <doctest/doctest.h>
#include <sys/socket.h>

#include "net_fault_injection.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

// Guards against closing a client that has open requests because no reader thread can be started for it. This
// happened on a machine that was out of threads.
TEST_CASE("a busy client is read by the client poller and loses nothing if no reader thread can start") {
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

TEST_CASE("a client with an unread, incomplete or unhandled message is not closed as idle") {
  SessionFixture fixture(1);
  TestListener listening;
  TestPeer client(listening.endpoint);
  Fd fd(::accept(listening.fd.get(), nullptr, nullptr));
  client.send(encode_request(1, "0123456789abcdef", "select 1") +
              "\x94");  // and the start of another request
  char first = 0;
  REQUIRE(::recv(fd.get(), &first, 1, MSG_PEEK) == 1);
  const auto session = fixture.session(std::move(fd));
  CHECK_FALSE(session->close_if_idle());  // unread: no read has been made yet
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  CHECK(fixture.event_queue.drain_until(Time::max()).size() == 1);
  CHECK_FALSE(session->close_if_idle());  // passed to the dispatcher, which has not handled it
  session->release_message_credit();
  CHECK_FALSE(session->close_if_idle());        // incomplete
  CHECK((session->next_due() != Time::max()));  // the time limit of the incomplete message
  // After the time limit the client is no longer read, but its open request is still answered.
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_until_due));
  const auto events = fixture.event_queue.drain_until(Time::max());
  REQUIRE(events.size() == 1);
  CHECK(std::holds_alternative<dispatch::SessionStalled>(std::get<dispatch::Event>(events[0])));
  client.send(encode_request(2, "0123456789abcde0", "select 2"));
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_until_due));
  CHECK(fixture.event_queue.drain_until(net::now()).empty());
  session->send_result(1, {"row1", {}});
  CHECK(client.read_until("row1"));
  session->close_after_writes();
  CHECK_FALSE(client.read_until("anything"));  // half closed: nothing more is sent
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::wait_until_due));
  CHECK((session->on_ready(net::now() + 1s, false) ==
         net::Pollable::PollResult::closed));  // although the client stays connected
}

// Guards against a connection that stays open for another request but is not read any more once a message has
// taken too long (docs/incidents/deaf-connection.md).
TEST_CASE("a message that gets complete after its time limit is answered, and so are the ones after it") {
  SessionFixture fixture(1);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  const auto read_after = [&](const std::string& bytes, Time at) {
    pair.peer.send(bytes);
    char first = 0;
    REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
    return session->on_ready(at, true);
  };
  const auto next_event = [&] {
    return std::get<dispatch::Event>(fixture.event_queue.drain_until(net::now()).at(0));
  };
  const std::string bytes = encode_request(1, "0123456789abcdef", "select 1");
  CHECK((read_after(bytes.substr(0, 20), net::now()) == net::Pollable::PollResult::wait_readable));
  const Time timed_out_at = session->next_due();
  REQUIRE((timed_out_at != Time::max()));
  CHECK((session->on_ready(timed_out_at, false) == net::Pollable::PollResult::wait_until_due));
  CHECK(std::holds_alternative<dispatch::SessionStalled>(next_event()));
  CHECK((read_after(bytes.substr(20, 5), timed_out_at) == net::Pollable::PollResult::wait_until_due));
  CHECK_FALSE(fixture.log.count("client reading stopped"));
  CHECK((read_after(bytes.substr(25), session->next_due()) == net::Pollable::PollResult::wait_readable));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 2);
  CHECK(std::holds_alternative<dispatch::SessionResumed>(std::get<dispatch::Event>(events[0])));
  CHECK(std::holds_alternative<dispatch::RequestReceived>(std::get<dispatch::Event>(events[1])));
  CHECK((read_after(encode_request(2, "0123456789abcde0", "select 2"), timed_out_at + 1s) ==
         net::Pollable::PollResult::wait_readable));
  CHECK(std::holds_alternative<dispatch::RequestReceived>(next_event()));
}

TEST_CASE("a stalled client whose next request is unread is not closed") {
  SessionFixture fixture(1);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  const std::string bytes = encode_request(1, "0123456789abcdef", "select 1");
  pair.peer.send(bytes.substr(0, 20));
  char first = 0;
  REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
  session->on_ready(net::now(), true);
  session->on_ready(session->next_due(), false);
  pair.peer.send(bytes.substr(20));
  REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
  CHECK_FALSE(session->close_after_writes_if_nothing_unread());
  session->on_ready(net::now(), true);
  CHECK_FALSE(session->close_after_writes_if_nothing_unread());  // the dispatcher has not handled it
  session->release_message_credit();
  CHECK(session->close_after_writes_if_nothing_unread());
}

// Guards against closing the connection when the memory budget is used up: open requests then got no
// response.
TEST_CASE("a client whose next message exceeds the free memory is read again once memory is free") {
  SessionFixture fixture(1);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  const auto read = [&] {  // waits for the first byte; all bytes of one write arrive together
    char first = 0;
    REQUIRE(::recv(pair.socket.descriptor(), &first, 1, MSG_PEEK) == 1);
    return session->on_ready(net::now(), true);
  };
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, (1 << 20) - 10));
  const std::string bytes = encode_long_request(1, "0123456789abcdef", std::string(40'000, 'x'));
  pair.peer.send(bytes.substr(0, 30'000));  // more than a client may send while no memory is free
  CHECK((read() == net::Pollable::PollResult::wait_until_due));
  CHECK((session->next_due() != Time::max()));
  rest = {};
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::wait_readable));
  pair.peer.send(bytes.substr(30'000));
  CHECK((read() == net::Pollable::PollResult::wait_readable));
  CHECK(fixture.event_queue.drain_until(Time::max()).size() == 1);
}

TEST_CASE("bytes that arrive on an aborted connection are not read") {
  TestListener listening;
  TestPeer client(listening.endpoint);
  Socket accepted(Fd(::accept(listening.fd.get(), nullptr, nullptr)));
  client.send("late");
  char bytes[16];
  REQUIRE(::recv(accepted.descriptor(), bytes, 1, MSG_PEEK) == 1);  // the bytes have arrived
  CHECK_FALSE(accepted.shutdown_write_if_nothing_unread([] { return true; }));
  accepted.abort();
  CHECK(accepted.try_read(bytes, sizeof bytes) == std::size_t{0});
}

// Guards against closing the connection of a slow reader because no thread can be started to write to it.
TEST_CASE("a client that reads slowly gets all its responses even if no thread can start") {
  exempt_from_faults = false;
  SessionFixture fixture(0);
  SocketPair pair;
  const auto session = fixture.session(Fd(::dup(pair.socket.descriptor())));
  resource_failure_percent = 100;
  for (dispatch::CallId call = 1; call <= 40; ++call)
    session->send_result(call, {std::string(40'000, static_cast<char>('0' + call)), {}});
  resource_failure_percent = 0;
  CHECK_FALSE(session->close_if_idle());
  for (char call = 1; call <= 40; ++call)
    CHECK(pair.peer.read_until(std::string(40'000, static_cast<char>('0' + call))));
}

}  // namespace
}  // namespace yokestream::test
