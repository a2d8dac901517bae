// What crosses the end of something: a client's word and its request, a close and a byte, a reload and an
// event. Each crossing is forced, by who looks when, by bytes held back, or by a peer that waits for what it
// sees.
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>

#include "net_fault_injection.h"
#include "net_session_fixture.h"

namespace yokestream::test {
namespace {

std::string give_up(int number) {
  return std::string("\x93\x02\xa6giveUp\x91", 10) + static_cast<char>(number);
}

std::string probe(int number) {
  return std::string("\x94\x00", 2) + static_cast<char>(number) + std::string("\xa5probe\x91\x80", 8);
}

// Until the first byte has come, and with it all that was written at once.
void wait_for_bytes(int descriptor) {
  char first = 0;
  REQUIRE(::recv(descriptor, &first, 1, MSG_PEEK) == 1);
}

// The peer's end of the connection, seen without fixture.
void wait_for_end(int descriptor) {
  pollfd peer{descriptor, POLLRDHUP, 0};
  while (::poll(&peer, 1, -1) < 1 || (peer.revents & (POLLRDHUP | POLLHUP)) == 0) {
  }
}

// One client whose bytes are read when the test says so: as if the process had stood still meanwhile.
struct HeldClient {
  SessionFixture fixture{0};
  TestListener listening;
  std::unique_ptr<TestPeer> client = std::make_unique<TestPeer>(listening.endpoint);
  Fd accepted{::accept(listening.fd.get(), nullptr, nullptr)};
  int descriptor = accepted.get();
  std::shared_ptr<net::ClientSession> session = fixture.session(std::move(accepted));
  std::size_t handed_in() { return fixture.event_queue.drain_until(net::now()).size(); }
};

TEST_CASE_FIXTURE(HeldClient, "a request given up before it is read is handed to nobody, and others are") {
  client->send(encode_request(1, "0123456789abcde1", "select 1") +
               encode_request(2, "0123456789abcde2", "select 2") + give_up(1));
  wait_for_bytes(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::wait_readable));
  const auto told = fixture.event_queue.drain_until(net::now());
  REQUIRE(told.size() == 1);
  CHECK(std::get<dispatch::RequestReceived>(std::get<dispatch::Event>(told[0])).call == 2);
}

TEST_CASE_FIXTURE(HeldClient,
                  "a request is handed to nobody once its client has closed, unread though it lay") {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
  CHECK(handed_in() == 0);
}

TEST_CASE_FIXTURE(HeldClient, "the same where the client's connection is reset") {
  client->send(encode_request(1, "0123456789abcde1", "select 1"));
  const linger at_once{1, 0};
  ::setsockopt(client->socket.descriptor(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  client.reset();
  wait_for_end(descriptor);
  CHECK((session->on_ready(net::now(), true) == net::Pollable::PollResult::closed));
  CHECK(handed_in() == 0);
}

TEST_CASE_FIXTURE(HeldClient, "who waits for a turn, and leaves, is not handed in when the turn comes") {
  for (int i = 0; i < 8; ++i) {  // more than the core takes of one client at once
    std::string some;
    for (int n = 1; n <= 5; ++n)
      some += encode_request(5 * i + n, "0123456789abc" + std::to_string(100 + 5 * i + n), "x");
    client->send(some);
  }
  wait_for_bytes(descriptor);
  while (session->on_ready(net::now(), true) != net::Pollable::PollResult::wait_until_due) {
  }
  const auto taken = handed_in();
  client.reset();
  wait_for_end(descriptor);
  for (std::size_t i = 0; i < taken; ++i) session->release_message_credit();
  CHECK((session->on_ready(session->next_due(), false) == net::Pollable::PollResult::closed));
  CHECK(handed_in() == 0);
}

// The time that a client has left ran while nobody read it.
TEST_CASE_FIXTURE(HeldClient, "bytes that came while a client was not read count from the last read") {
  dispatch::Reservation rest;
  REQUIRE(fixture.budget.try_reserve(rest, (1 << 20) - 10));
  const std::string first = encode_request(1, "0123456789abcde1", "select 1");
  client->send(first.substr(0, 40));
  wait_for_bytes(descriptor);
  const Time paused = net::now();
  CHECK((session->on_ready(paused, true) == net::Pollable::PollResult::wait_until_due));
  client->send(first.substr(40) + encode_request(2, "0123456789abcde2", "select 2"));
  wait_for_bytes(descriptor);
  rest = {};
  while (net::now() < paused + 20ms) ::poll(nullptr, 0, 1);  // the wait is what is measured here
  CHECK((session->on_ready(net::now(), false) == net::Pollable::PollResult::wait_readable));
  const auto told = fixture.event_queue.drain_until(net::now());
  REQUIRE(told.size() == 2);
  for (const auto& event : told)
    CHECK((std::get<dispatch::RequestReceived>(std::get<dispatch::Event>(event)).deadline <= paused + 4s));
}

TEST_CASE_FIXTURE(HeldClient,
                  "a client whose reading has stopped and that reads nothing itself is closed in the end") {
  client->send("\x05");
  wait_for_bytes(descriptor);
  const Time stopped = net::now();
  CHECK((session->on_ready(stopped, true) == net::Pollable::PollResult::wait_until_due));
  for (dispatch::CallId call = 1; call <= 200; ++call)
    session->send_result(call, {std::string(40'000, 'a'), {}});
  CHECK((session->on_ready(stopped + 10s, false) ==
         net::Pollable::PollResult::wait_until_due));  // the core has not let it go yet
  session->close_after_writes();
  CHECK((session->on_ready(stopped + 11s, false) == net::Pollable::PollResult::wait_until_due));
  CHECK((session->on_ready(stopped + 14s, false) == net::Pollable::PollResult::closed));
}

TEST_CASE_FIXTURE(HeldClient, "a session is not half closed while the core has not handled its message") {
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

TEST_CASE("a byte that comes at the close resets no connection upon an answer that is still on its way") {
  const int small = 4096;
  TestListener listening;
  TestPeer peer(listening.endpoint);
  setsockopt(peer.socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
  auto socket = std::make_unique<Socket>(Fd(::accept(listening.fd.get(), nullptr, nullptr)));
  const int some = 64 * 1024;
  setsockopt(socket->descriptor(), SOL_SOCKET, SO_SNDBUF, &some, sizeof some);
  const auto taken = socket->try_write(std::string(1 << 20, 'a'));
  REQUIRE(taken.value_or(0) > 8 * small);  // more than the peer has room for: some of it has not reached it
  socket->shutdown_write();
  peer.send("late");
  wait_for_bytes(socket->descriptor());
  char bytes[16];
  CHECK_FALSE(socket->try_read(bytes, sizeof bytes).has_value());  // dropped, and no end yet
  socket.reset();
  setsockopt(peer.socket.descriptor(), SOL_SOCKET, SO_RCVBUF, &some, sizeof some);
  std::size_t came = 0;
  char into[4096];
  while (const auto size = peer.socket.read_until(into, sizeof into, Time::max())) came += size;
  CHECK(came == *taken);
}

// Its client lost what it had open.
TEST_CASE_FIXTURE(OneRequestInFlight,
                  "a client stuck inside a message has its open request answered, then it is closed") {
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
                  "a client whose next bytes are no message has its open request answered all the same") {
  client.send("\x05");
  running.log.wait_for("client reading stopped");
  link.send("*4\r\n$16\r\n0123456789abcdef\r\n$6\r\nserved\r\n$7\r\ntotal=1\r\n$6\r\na\tb\tc\n\r\n");
  CHECK(client.read_until("a\tb\tc\n"));
  CHECK_FALSE(client.read_until("anything"));
}

// A port that takes connections only when it is told to: those that come meanwhile are not up.
struct Reluctant : TestListener {
  Reluctant() {
    ::listen(fd.get(), 0);
    while (full.size() < 64) {
      full.push_back(std::make_unique<Socket>());
      net::ConnectFailure failure;
      if (full.back()->start_connect(endpoint, &failure) == Socket::ConnectStatus::connected) continue;
      pollfd up{full.back()->descriptor(), POLLOUT, 0};
      if (::poll(&up, 1, 50) == 0) return;  // this one waits: the next ones will, too
    }
  }
  std::vector<std::unique_ptr<Socket>> full;
};

TEST_CASE("a client that leaves while its request waits for a connection: the engine never sees it") {
  for (const bool may_cancel : {true, false}) {
    CAPTURE(may_cancel);
    Reluctant engine;
    config::Config config = config::decode_config(config_text("127.0.0.1:0", to_string(engine.endpoint)));
    config.settings.may_cancel = may_cancel;
    config.real.dial_time = 10s;
    TestLog log;
    net::Server server(config, log);
    TestPeer stays(server.endpoint());
    {
      TestPeer leaves(server.endpoint());
      leaves.send(encode_request(1, "0123456789abcde1", "select 1") + probe(2));
      REQUIRE(leaves.read_until("\xc3"));  // answered in order: the request waits for its connection
    }
    log.wait_for("client connection closed: open_requests=1 ");
    engine.full.clear();
    stays.send(encode_request(1, "0123456789abcde2", "select 2"));
    std::vector<std::unique_ptr<TestPeer>> links;
    std::string seen;
    while (seen.find("0123456789abcde2") == std::string::npos) {
      std::vector<pollfd> all{{engine.fd.get(), POLLIN, 0}};
      for (const auto& link : links) all.push_back({link->socket.descriptor(), POLLIN, 0});
      ::poll(all.data(), all.size(), -1);
      char bytes[4096];
      for (std::size_t i = links.size(); i-- > 0;) {
        if (!all[i + 1].revents) continue;
        const auto size = links[i]->socket.try_read(bytes, sizeof bytes);
        if (size == 0) links.erase(links.begin() + static_cast<long>(i));
        seen.append(bytes, size.value_or(0));
      }
      if (all[0].revents) links.emplace_back(new TestPeer(engine.accept()));
    }
    CHECK(seen.find("0123456789abcde1") == std::string::npos);
    server.begin_shutdown();
    server.wait();
  }
}

}  // namespace
}  // namespace yokestream::test
