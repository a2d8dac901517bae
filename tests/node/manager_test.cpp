// The dispatcher on fake ports: pages, deadlines, disconnects, drains, retries and graceful shutdown.
#include <doctest/doctest.h>

#include <algorithm>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(DispatcherFixture,
                  "a result of several pages is fetched, sent to the client in page order, and released") {
  send_request(1);
  const Attempt o = write_last_attempt();
  respond(o, ResponseType::result, 3, 0, "a\t1\t\n");
  CHECK(count("fetch 1") + count("fetch 2") == 2);
  respond(o, ResponseType::page, 1, 2, "c\t3\t\n");
  CHECK(replies_to(1).empty());
  respond(o, ResponseType::page, 1, 1, "b\t2\t\n");
  CHECK(port_calls.back() == "release " + o.id);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].rows == "a\t1\t\nb\t2\t\nc\t3\t\n");
  CHECK(budget.reserved() == 0);
}

TEST_CASE_FIXTURE(DispatcherFixture, "a lost page fails a non-idempotent request, because it may have run") {
  send_request(1, 1);
  const Attempt o = write_last_attempt();
  respond(o, ResponseType::result, 2, 0, "a\tb\tc\n");
  respond(o, ResponseType::failed);
  advance(1s);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "failed");
  CHECK(attempts.size() == 1);
}

TEST_CASE_FIXTURE(
    DispatcherFixture,
    "at the deadline the attempt is cancelled and the client answered; a late response is dropped") {
  send_request(1, 1, 1s);
  const Attempt o = write_last_attempt();
  advance(1s);
  CHECK(count("cancel " + o.id) == 1);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "failed");
  respond(o, ResponseType::result, 1, 0, "late");
  CHECK(replies_to(1).size() == 1);
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "a client that disconnects gets no answer, and its requests in flight are cancelled") {
  send_request(1);
  const Attempt first = write_last_attempt();
  handle(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  send_request(2);
  const Attempt second = write_last_attempt();
  handle(dispatch::SessionClosed{dispatch::SessionId{1}, "closed by this side"});
  advance(5s);
  CHECK(count("cancel " + first.id) == 1);
  CHECK(count("cancel " + second.id) == 1);
  CHECK(replies_to(1).size() + replies_to(2).size() == 0);
  // The log names the cause, so that a lost answer can be traced.
  CHECK(std::count(log_lines.begin(), log_lines.end(),
                   "client connection closed: open_requests=1 cause=\"closed by this side\"") == 1);
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "a request that is still queued when its engine starts draining is withdrawn") {
  send_request(1);
  update_engine_list(R"({"uid":"e1","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"draining"})");
  CHECK(attempts.empty());
  advance(5s);
  CHECK(replies_to(1).size() == 1);
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "a non-idempotent request is retried after a refused connection, and fails after a reset") {
  send_request(1, 1);
  handle(dispatch::EngineDisconnected{last_attempt().connection, "refused"});
  advance(1s);
  CHECK(count("send 0000000000000001") == 2);
  const Attempt o = write_last_attempt();
  handle(dispatch::EngineDisconnected{o.connection, "reset"});
  advance(1s);
  CHECK(count("send 0000000000000001") == 2);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "failed");
}

TEST_CASE_FIXTURE(
    DispatcherFixture,
    "a graceful shutdown serves open requests, rejects later ones and completes when none is open") {
  send_request(1);
  const Attempt o = write_last_attempt();
  handle(dispatch::BeginShutdown{});
  handle(dispatch::ProbeReceived{dispatch::SessionId{1}, 9});
  CHECK(replies_to(9)[0].kind == "not ready");
  advance(800ms);
  CHECK_FALSE(dispatcher.shutdown_complete(now));
  respond(o, ResponseType::result, 1, 0, "a\tb\tc\n");
  // The connection is still open, and its client may send another request.
  CHECK_FALSE(dispatcher.shutdown_complete(now));
  send_request(2);
  CHECK(replies_to(2)[0].kind == "refused");
  advance(200ms);
  CHECK(count("close 1") == 1);
  handle(dispatch::SessionClosed{dispatch::SessionId{1}});
  advance(1500ms);
  CHECK(dispatcher.shutdown_complete(now));
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "a flooding client is disconnected only when none of its data is waiting to be handled") {
  sessions_with_unread_data.insert(dispatch::SessionId(1));  // its next request is not handled yet
  // Each request is past its deadline and fails at once.
  for (dispatch::CallId call = 1; call <= 70; ++call) send_request(call, 0, 0s);
  CHECK(count("close 1") == 0);
  sessions_with_unread_data.clear();
  send_request(71, 0, 0s);
  for (dispatch::CallId call = 1; call <= 71; ++call) CHECK(replies_to(call).size() == 1);
  CHECK(count("close 1") == 1);
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "requests of a client are retried only once one of them has been served") {
  send_request(1);
  respond(write_last_attempt(), ResponseType::failed);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1)[0].kind == "failed");
  send_request(2);
  CHECK(replies_to(2)[0].kind == "failed");
  advance(1s);
  send_request(3);
  respond(write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(replies_to(3)[0].kind == "served");
  send_request(4);
  respond(write_last_attempt(), ResponseType::failed);
  advance(1s);
  CHECK(count("send 0000000000000001") == 1);
  CHECK(count("send 0000000000000004") == 2);
}

TEST_CASE_FIXTURE(DispatcherFixture, "a request id that is in use is rejected, whichever client sends it") {
  send_request(1);
  send_request(1, 0, 4s, 1);
  CHECK(count("close 1") == 1);
  handle(dispatch::SessionOpened{dispatch::SessionId{2}});
  send_request(1, 0, 4s, 2);
  CHECK(replies_to(1, 2)[0].kind == "failed");
}

TEST_CASE_FIXTURE(
    DispatcherFixture,
    "corrupt rows are not sent to the client: the connection is closed and the request retried") {
  for (const std::string rows : {"a\tb\n", "a\tb\tc", "a\tb\tc\n\n", "a\t\x01\tc\n"}) {
    DispatcherFixture f;
    f.send_request(1);
    const Attempt o = f.write_last_attempt();
    f.respond(o, ResponseType::result, 1, 0, rows);
    CHECK(f.connections.count(o.connection) == 0);
    f.advance(100ms);
    CHECK(f.replies_to(1).empty());
    CHECK(f.count("send 0000000000000001") == 2);
  }
}

TEST_CASE_FIXTURE(DispatcherFixture,
                  "each attempt has its own connection; a silent connection is pinged, then closed") {
  send_request(1, 1);
  const Attempt first = write_last_attempt();
  send_request(2, 1);
  const Attempt second = write_last_attempt();
  CHECK(first.connection != second.connection);
  advance(800ms);
  CHECK(count("ping alive") == 2);
  send_pong(first.connection, "alive");
  advance(1s);
  CHECK(connections.count(first.connection) == 1);
  CHECK(replies_to(1).empty());
  CHECK(connections.count(second.connection) == 0);
  CHECK(replies_to(2)[0].kind == "failed");
}

TEST_CASE_FIXTURE(DispatcherFixture, "a graceful shutdown answers all open requests by its deadline") {
  handle(dispatch::BeginShutdown{});
  send_request(1);
  write_last_attempt();
  send_request(2, 1);
  write_last_attempt();
  for (int i = 0; i < 8; ++i) {
    advance(400ms);
    for (const auto link : std::set(connections)) send_pong(link, "alive");
  }
  advance(200ms);
  CHECK(replies_to(1)[0].kind == "refused");
  CHECK(replies_to(2)[0].kind == "failed");
  CHECK(count("close 1") == 1);
  handle(dispatch::SessionClosed{dispatch::SessionId{1}});
  advance(1500ms);
  CHECK(dispatcher.shutdown_complete(now));
}

}  // namespace
}  // namespace yokestream::test
