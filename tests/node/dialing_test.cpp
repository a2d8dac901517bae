// From the decision module's choice to a connection: lacks on this machine, and clients whose disconnect was
// not handled yet.
#include <doctest/doctest.h>

#include "core_fixture.h"

namespace yokestream::test {
namespace {

struct Connecting : Fixture {
  void fail_locally() { hear(dispatch::EngineDisconnected{only().link, "no port", true}); }
  long sends() const { return count("req 0000000000000001"); }
};

TEST_CASE_FIXTURE(Connecting,
                  "a lack on this machine reconnects the same attempt, also past the maximum of attempts") {
  arrive(1, 1);  // one that must not run twice
  for (int i = 0; i < 10; ++i) {
    fail_locally();
    pass(10ms);
  }
  CHECK(sends() == 11);
  CHECK(to(1).empty());
  answer(written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(to(1).back().kind == "served");
}

TEST_CASE_FIXTURE(
    Connecting,
    "a lack that lasts counts as never sent: the request is rejected, and the engine not ejected") {
  arrive(1);
  for (int i = 0; i < 400 && to(1).empty(); ++i) {
    if (!out.empty()) fail_locally();
    pass(10ms);
  }
  REQUIRE_FALSE(to(1).empty());
  CHECK(to(1).back().kind == "refused");
  CHECK(core.metrics().text().find("engines_excluded:0") != std::string::npos);
}

TEST_CASE_FIXTURE(Connecting, "a request cancelled or out of time while it reconnects is not sent") {
  arrive(1);
  fail_locally();
  hear(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  pass(1s);
  CHECK(sends() == 1);
  CHECK(core.open_requests() == 0);
  arrive(2, 0, 200ms);
  fail_locally();
  pass(1s);
  CHECK(to(2).size() == 1);
}

TEST_CASE_FIXTURE(Connecting, "an engine that drains while an attempt reconnects gets nothing") {
  arrive(1);
  fail_locally();
  list(R"({"uid":"e1","az":"z","model":"m","state":"draining"})");
  pass(1s);
  CHECK(sends() == 1);
}

// A request may be queued in the decision module for seconds. Its client closes the connection meanwhile, and
// the event of that is not handled yet: no engine may get work for nobody.
TEST_CASE_FIXTURE(
    Connecting,
    "what is queued is not sent once its client has closed, before the event of that is handled") {
  arrive(1);
  answer(written(), ResponseType::overloaded);  // it waits before its retry
  gone.insert(dispatch::SessionId{1});
  pass(3s);
  CHECK(sends() == 1);
  CHECK(core.open_requests() == 0);
  CHECK(to(1).empty());
  hear(dispatch::SessionClosed{dispatch::SessionId{1}});
}

TEST_CASE_FIXTURE(Connecting, "a stalled session is closed after its responses once nothing is open on it") {
  arrive(1);
  const auto first = written();
  hear(dispatch::SessionStalled{dispatch::SessionId{1}});
  pass(300ms);
  CHECK(count("finish 1") == 0);
  answer(first, ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(to(1).back().kind == "served");
  pass(300ms);
  CHECK(count("finish 1") == 1);
}

}  // namespace
}  // namespace yokestream::test
