// Races at the end of a request or a connection: a cancellation and its request, a close and an arriving
// byte, a client that leaves and a connection that is being established. Each race is forced: by choosing
// when a side reads, by delaying bytes, or by a peer that waits for what it observes.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include "net_fault_injection.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(PausedClient, "a request cancelled before it is read is not dispatched, and others are") {
  client->send(encode_request(1, "0123456789abcde1", "select 1") +
               encode_request(2, "0123456789abcde2", "select 2") + encode_cancel(1));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 1);
  CHECK(std::get<dispatch::RequestReceived>(std::get<dispatch::Event>(events[0])).call == 2);
}

TEST_CASE_FIXTURE(PausedClient,
                  "an unread request is not dispatched once its client has closed the connection") {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
  CHECK(drain_event_count() == 0);
}

TEST_CASE_FIXTURE(PausedClient, "an unread request is not dispatched once its client's connection is reset") {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  const linger reset_on_close{1, 0};
  ::setsockopt(client->socket.descriptor(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
  CHECK(drain_event_count() == 0);
}

TEST_CASE_FIXTURE(PausedClient,
                  "messages that wait for credits are not dispatched if the client has left meanwhile") {
  for (int i = 0; i < 8; ++i) {  // more messages than a client has credits
    std::string some;
    for (int n = 1; n <= 5; ++n)
      some += encode_request(5 * i + n, "0123456789abc" + std::to_string(100 + 5 * i + n), "x");
    client->send(some);
  }
  wait_for_bytes(descriptor);
  while (session->on_ready(net::now(), true) != net::Pollable::PollResult::wait_until_due) {
  }
  const auto event_count = drain_event_count();
  client.reset();
  wait_for_end(descriptor);
  for (std::size_t i = 0; i < event_count; ++i) session->release_message_credit();
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::closed));
  CHECK(drain_event_count() == 0);
}

// Guards against deadlines that start too late: the time of a request also runs while its client is not read.
TEST_CASE_FIXTURE(PausedClient,
                  "deadlines of requests that arrived while reading was paused count from the last read") {
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, (1 << 20) - 10));
  const std::string first = encode_long_request(1, "0123456789abcde1", std::string(40'000, 'x'));
  client->send(first.substr(0, 30'000));  // more than a client may send while no memory is free
  wait_for_bytes(descriptor);
  const Time paused = net::now();
  CHECK((session->on_ready(paused, true) == net::Pollable::PollResult::wait_until_due));
  client->send(first.substr(30'000) + encode_request(2, "0123456789abcde2", "select 2"));
  wait_for_bytes(descriptor);
  rest = {};
  while (net::now() < paused + 20ms) ::poll(nullptr, 0, 1);  // the test is about this delay
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::wait_readable));
  const auto events = fixture.event_queue.drain_until(net::now());
  REQUIRE(events.size() == 2);
  for (const auto& event : events)
    CHECK((std::get<dispatch::RequestReceived>(std::get<dispatch::Event>(event)).deadline <= paused + 4s));
}

TEST_CASE_FIXTURE(
    PausedClient,
    "a client that is no longer read and does not read its responses is closed after a time limit") {
  client->send("\x05");
  wait_for_bytes(descriptor);
  const Time stopped = net::now();
  CHECK((session->on_ready(stopped, true) == net::Pollable::PollResult::wait_until_due));
  for (dispatch::CallId call = 1; call <= 200; ++call)
    session->send_result(call, {std::string(40'000, 'a'), {}});
  CHECK((session->on_ready(stopped + 10s, false) ==
         net::Pollable::PollResult::wait_until_due));  // the dispatcher has not closed it yet
  session->close_after_writes();
  CHECK((session->on_ready(stopped + 11s, false) == net::Pollable::PollResult::wait_until_due));
  CHECK((session->on_ready(stopped + 14s, false) == net::Pollable::PollResult::closed));
}

TEST_CASE_FIXTURE(PausedClient,
                  "a session is not half closed while the dispatcher has not handled its message") {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  session->close_after_writes_if_settled();
  session->release_message_credit();
  session->send_rejection(1, {});
  CHECK(client->read_until("Shed"));  // it was not half closed before
  session->close_after_writes_if_settled();
  CHECK_FALSE(client->read_until("anything"));
}

TEST_CASE(
    "a byte that arrives during the close does not reset the connection before the response is delivered") {
  const int small = 4096;
  TestListener listening;
  TestPeer peer(listening.endpoint);
  setsockopt(peer.socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  auto socket = std::make_unique<Socket>(Fd(::accept(listening.fd.get(), nullptr, nullptr)));
  const int some = 64 * 1024;
  setsockopt(socket->descriptor(), SOL_SOCKET, SO_SNDBUF, &some, sizeof some);
  const auto accepted_size = socket->try_write(std::string(1 << 20, 'a'));
  REQUIRE(accepted_size.value_or(0) >
          8 * small);  // more than the receive buffer of the peer holds, so part of it is still undelivered
  socket->shutdown_write();
  peer.send("late");
  wait_for_bytes(socket->descriptor());
  char bytes[16];
  CHECK_FALSE(
      socket->try_read(bytes, sizeof bytes).has_value());  // dropped; the end of the stream is not reached
  socket.reset();
  setsockopt(peer.socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &some, sizeof some);
  std::size_t received_size = 0;
  char buffer[4096];
  while (const auto size = peer.socket.read_until(buffer, sizeof buffer, Time::max())) received_size += size;
  CHECK(received_size == *accepted_size);
}

// Guards against losing the response to an open request when its client stalls inside its next message.
TEST_CASE_FIXTURE(
    OneRequestInFlight,
    "a client that stalls inside a message gets the response to its open request and is then closed") {
  client.send("\x94");
  while (running.log.count("incomplete message timed out") == 0) {  // the engine answers its health checks
    REQUIRE(link.read_until("alive"));
    link.send("*2\r\n$5\r\nalive\r\n$5\r\ngreen\r\n");
  }
  link.send("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.read_until("a\tb\tc\n"));
  CHECK_FALSE(client.read_until("anything"));
}

TEST_CASE_FIXTURE(OneRequestInFlight,
                  "a client that sends an invalid message still gets the response to its open request") {
  client.send("\x05");
  running.log.wait_for("client reading stopped");
  link.send("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.read_until("a\tb\tc\n"));
  CHECK_FALSE(client.read_until("anything"));
}

// A listening socket whose backlog is full until the test closes it: further connections are not established.
struct BackloggedListener : TestListener {
  BackloggedListener() {
    ::listen(fd.get(), 0);
    while (backlog.size() < 64) {
      backlog.push_back(std::make_unique<Socket>());
      net::ConnectFailure failure;
      if (backlog.back()->start_connect(endpoint, &failure) == Socket::ConnectStatus::connected) continue;
      pollfd connection{backlog.back()->descriptor(), POLLOUT, 0};
      if (::poll(&connection, 1, 50) == 0) return;  // the backlog is full
    }
  }
  std::vector<std::unique_ptr<Socket>> backlog;
};

TEST_CASE("the request of a client that leaves before the engine connection is established is never sent") {
  for (const bool may_cancel : {true, false}) {
    CAPTURE(may_cancel);
    BackloggedListener engine;
    config::Config config = config::decode_config(config_text("127.0.0.1:0", to_string(engine.endpoint)));
    config.settings.may_cancel = may_cancel;
    config.real.dial_time = 10s;
    TestLog log;
    net::Server server(config, log);
    TestPeer staying_client(server.endpoint());
    {
      TestPeer leaving_client(server.endpoint());
      leaving_client.send(encode_request(1, "0123456789abcde1", "select 1") + encode_probe(2));
      REQUIRE(leaving_client.read_until(
          "\xc3"));  // responses are in order, so the request is waiting for its connection
    }
    log.wait_for("client connection closed: open_requests=1 ");
    engine.backlog.clear();
    staying_client.send(encode_request(1, "0123456789abcde2", "select 2"));
    std::vector<std::unique_ptr<TestPeer>> links;
    std::string received;
    while (received.find("0123456789abcde2") == std::string::npos) {
      std::vector<pollfd> all{{engine.fd.get(), POLLIN, 0}};
      for (const auto& link : links) all.push_back({link->socket.descriptor(), POLLIN, 0});
      ::poll(all.data(), all.size(), -1);
      char bytes[4096];
      for (std::size_t i = links.size(); i-- > 0;) {
        if (!all[i + 1].revents) continue;
        const auto size = links[i]->socket.try_read(bytes, sizeof bytes);
        if (size == 0) links.erase(links.begin() + static_cast<long>(i));
        received.append(bytes, size.value_or(0));
      }
      if (all[0].revents) links.emplace_back(new TestPeer(engine.accept()));
    }
    CHECK(received.find("0123456789abcde1") == std::string::npos);
    server.begin_shutdown();
    server.wait();
  }
}

}  // namespace
}  // namespace yokestream::test
