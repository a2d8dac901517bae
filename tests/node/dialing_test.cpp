// From the decision module's choice to a connection: lacks on this machine, and clients whose disconnect was
// not handled yet.
#include <doctest/doctest.h>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

struct Connecting : DispatcherFixture {
  void fail_locally() { handle(dispatch::EngineDisconnected{last_attempt().connection, "no port", true}); }
  long sends() const { return count("send 0000000000000001"); }
};

TEST_CASE_FIXTURE(Connecting,
                  "a lack on this machine reconnects the same attempt, also past the maximum of attempts") {
  send_request(1, 1);  // one that must not run twice
  for (int i = 0; i < 10; ++i) {
    fail_locally();
    advance(10ms);
  }
  CHECK(sends() == 11);
  CHECK(replies_to(1).empty());
  respond(write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(replies_to(1).back().kind == "served");
}

TEST_CASE_FIXTURE(
    Connecting,
    "a lack that lasts counts as never sent: the request is rejected, and the engine not ejected") {
  send_request(1);
  for (int i = 0; i < 400 && replies_to(1).empty(); ++i) {
    if (!attempts.empty()) fail_locally();
    advance(10ms);
  }
  REQUIRE_FALSE(replies_to(1).empty());
  CHECK(replies_to(1).back().kind == "refused");
  CHECK(dispatcher.metrics().text().find("engines_excluded:0") != std::string::npos);
}

TEST_CASE_FIXTURE(Connecting, "a request cancelled or out of time while it reconnects is not sent") {
  send_request(1);
  fail_locally();
  handle(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  advance(1s);
  CHECK(sends() == 1);
  CHECK(dispatcher.open_requests() == 0);
  send_request(2, 0, 200ms);
  fail_locally();
  advance(1s);
  CHECK(replies_to(2).size() == 1);
}

TEST_CASE_FIXTURE(Connecting, "an engine that drains while an attempt reconnects gets nothing") {
  send_request(1);
  fail_locally();
  update_engine_list(R"({"uid":"e1","az":"z","model":"m","state":"draining"})");
  advance(1s);
  CHECK(sends() == 1);
}

// A request may be queued in the decision module for seconds. Its client closes the connection meanwhile, and
// the event of that is not handled yet: no engine may get work for nobody.
TEST_CASE_FIXTURE(
    Connecting,
    "what is queued is not sent once its client has closed, before the event of that is handled") {
  send_request(1);
  respond(write_last_attempt(), ResponseType::overloaded);  // it waits before its retry
  disconnected_sessions.insert(dispatch::SessionId{1});
  advance(3s);
  CHECK(sends() == 1);
  CHECK(dispatcher.open_requests() == 0);
  CHECK(replies_to(1).empty());
  handle(dispatch::SessionClosed{dispatch::SessionId{1}});
}

TEST_CASE_FIXTURE(Connecting, "a stalled session is closed after its responses once nothing is open on it") {
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

}  // namespace
}  // namespace yokestream::test
