// Connecting to the engine that the decision module has selected: local failures, such as no free port, and
// clients whose disconnect was not handled yet.
#include <doctest/doctest.h>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

struct ConnectingFixture : DispatcherFixture {
  void fail_connect_locally() {
    handle(dispatch::EngineDisconnected{last_attempt().connection, "no port", true});
  }
  long send_count() const { return count("send 0000000000000001"); }
};

TEST_CASE_FIXTURE(
    ConnectingFixture,
    "after a local failure the same attempt reconnects, also beyond the maximum number of attempts") {
  send_request(1, 1);  // not idempotent
  for (int i = 0; i < 10; ++i) {
    fail_connect_locally();
    advance(10ms);
  }
  CHECK(send_count() == 11);
  CHECK(replies_to(1).empty());
  respond(write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(replies_to(1).back().kind == "served");
}

TEST_CASE_FIXTURE(
    ConnectingFixture,
    "a lasting local failure counts as never sent: the request is rejected, the engine not ejected") {
  send_request(1);
  for (int i = 0; i < 400 && replies_to(1).empty(); ++i) {
    if (!attempts.empty()) fail_connect_locally();
    advance(10ms);
  }
  REQUIRE_FALSE(replies_to(1).empty());
  CHECK(replies_to(1).back().kind == "refused");
  CHECK(dispatcher.metrics().text().find("engines_excluded:0") != std::string::npos);
}

TEST_CASE_FIXTURE(ConnectingFixture,
                  "a request that is cancelled or expires while it reconnects is not sent") {
  send_request(1);
  fail_connect_locally();
  handle(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  advance(1s);
  CHECK(send_count() == 1);
  CHECK(dispatcher.open_requests() == 0);
  send_request(2, 0, 200ms);
  fail_connect_locally();
  advance(1s);
  CHECK(replies_to(2).size() == 1);
}

TEST_CASE_FIXTURE(ConnectingFixture,
                  "an engine that starts draining while an attempt reconnects does not receive it") {
  send_request(1);
  fail_connect_locally();
  update_engine_list(R"({"uid":"e1","az":"z","model":"m","state":"draining"})");
  advance(1s);
  CHECK(send_count() == 1);
}

// A request may be queued in the decision module for seconds. If its client disconnects meanwhile and that
// event is not handled yet, the engine would run a request that nobody waits for.
TEST_CASE_FIXTURE(
    ConnectingFixture,
    "a queued request is not sent once its client has disconnected, even before that event is handled") {
  send_request(1);
  respond(write_last_attempt(), ResponseType::overloaded);  // is queued for a retry
  disconnected_sessions.insert(dispatch::SessionId{1});
  advance(3s);
  CHECK(send_count() == 1);
  CHECK(dispatcher.open_requests() == 0);
  CHECK(replies_to(1).empty());
  handle(dispatch::SessionClosed{dispatch::SessionId{1}});
}

TEST_CASE_FIXTURE(ConnectingFixture,
                  "a stalled session is closed after its responses, once it has no open request") {
  send_request(1);
  const auto first = write_last_attempt();
  handle(dispatch::SessionStalled{dispatch::SessionId{1}});
  advance(300ms);
  CHECK(count("close after responses 1") == 0);
  respond(first, ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(replies_to(1).back().kind == "served");
  advance(300ms);
  CHECK(count("close after responses 1") == 1);
}

// Guards against the loss of a request that arrives in whole on a connection that is to be closed because an
// earlier message timed out (docs/incidents/deaf-connection.md).
TEST_CASE_FIXTURE(ConnectingFixture,
                  "a stalled session is not closed while it has unread data, nor once it has resumed") {
  handle(dispatch::SessionStalled{dispatch::SessionId{1}});
  CHECK(count("close after responses 1") == 1);  // no request is open
  port_calls.clear();
  sessions_with_unread_data.insert(dispatch::SessionId{2});
  handle(dispatch::SessionOpened{dispatch::SessionId{2}});
  handle(dispatch::SessionStalled{dispatch::SessionId{2}});
  advance(300ms);
  CHECK(count("close after responses 2") == 0);
  handle(dispatch::SessionResumed{dispatch::SessionId{2}});
  sessions_with_unread_data.clear();
  advance(300ms);
  CHECK(count("close after responses 2") == 0);
}

}  // namespace
}  // namespace yokestream::test
