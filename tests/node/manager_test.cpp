#include <doctest/doctest.h>

#include <algorithm>

#include "core_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(Fixture, "a result of several pages is fetched, released and sent in order") {
  arrive(1);
  const Out o = written();
  answer(o, ResponseType::result, 3, 0, "a\t1\t\n");
  CHECK(count("fetch 1") + count("fetch 2") == 2);
  answer(o, ResponseType::page, 1, 2, "c\t3\t\n");
  CHECK(to(1).empty());
  answer(o, ResponseType::page, 1, 1, "b\t2\t\n");
  CHECK(said.back() == "end " + o.id);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].rows == "a\t1\t\nb\t2\t\nc\t3\t\n");
  CHECK(budget.reserved() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a lost page fails a request that is not idempotent, as it may have run") {
  arrive(1, 1);
  const Out o = written();
  answer(o, ResponseType::result, 2, 0, "a\tb\tc\n");
  answer(o, ResponseType::failed);
  pass(1s);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  CHECK(out.size() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "at the deadline the attempt is cancelled, the client answered, a late response dropped") {
  arrive(1, 1, 1s);
  const Out o = written();
  pass(1s);
  CHECK(count("stop " + o.id) == 1);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  answer(o, ResponseType::result, 1, 0, "late");
  CHECK(to(1).size() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "a client that disconnects gets no answer, and what is in flight for it is cancelled") {
  arrive(1);
  const Out first = written();
  hear(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  arrive(2);
  const Out second = written();
  hear(dispatch::SessionClosed{dispatch::SessionId{1}, "broken off here"});
  pass(5s);
  CHECK(count("stop " + first.id) == 1);
  CHECK(count("stop " + second.id) == 1);
  CHECK(to(1).size() + to(2).size() == 0);
  // The cause is in the log, so that a lost answer can be traced.
  CHECK(std::count(notes.begin(), notes.end(),
                   "client connection closed: open_requests=1 cause=\"broken off here\"") == 1);
}

TEST_CASE_FIXTURE(Fixture, "a request still queued when its engine drains is withdrawn, not written late") {
  arrive(1);
  list(R"({"uid":"e1","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"draining"})");
  CHECK(out.empty());
  pass(5s);
  CHECK(to(1).size() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "what is not idempotent fails after a reset, and is retried after a refused connection") {
  arrive(1, 1);
  hear(dispatch::EngineDisconnected{only().link, "refused"});
  pass(1s);
  CHECK(count("req 0000000000000001") == 2);
  const Out o = written();
  hear(dispatch::EngineDisconnected{o.link, "reset"});
  pass(1s);
  CHECK(count("req 0000000000000001") == 2);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
}

TEST_CASE_FIXTURE(Fixture,
                  "in a graceful shutdown it serves for a while and completes when nothing is owed") {
  arrive(1);
  const Out o = written();
  hear(dispatch::BeginShutdown{});
  hear(dispatch::ProbeReceived{dispatch::SessionId{1}, 9});
  CHECK(to(9)[0].kind == "leaving");
  pass(800ms);
  CHECK_FALSE(core.shutdown_complete(now));
  answer(o, ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK_FALSE(core.shutdown_complete(now));  // its client may still ask on this connection
  arrive(2);
  CHECK(to(2)[0].kind == "refused");
  pass(200ms);
  CHECK(count("close 1") == 1);
  hear(dispatch::SessionClosed{dispatch::SessionId{1}});
  pass(1500ms);
  CHECK(core.shutdown_complete(now));
}

TEST_CASE_FIXTURE(Fixture, "a flooding client is closed once nothing of it is on the way, not before") {
  busy.insert(dispatch::SessionId(1));  // its next request is read, or waits in the inbox
  for (dispatch::CallId call = 1; call <= 70; ++call) arrive(call, 0, 0s);  // each late: failed at once
  CHECK(count("close 1") == 0);
  busy.clear();
  arrive(71, 0, 0s);
  for (dispatch::CallId call = 1; call <= 71; ++call) CHECK(to(call).size() == 1);
  CHECK(count("close 1") == 1);
}

TEST_CASE_FIXTURE(Fixture, "a client whose first request no engine can run fails at once, without a retry") {
  arrive(1);
  answer(written(), ResponseType::failed);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  arrive(2);
  CHECK(to(2)[0].kind == "failed");
  pass(1s);
  arrive(3);
  answer(written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(to(3)[0].kind == "served");
  arrive(4);
  answer(written(), ResponseType::failed);
  pass(1s);
  CHECK(count("req 0000000000000001") == 1);
  CHECK(count("req 0000000000000004") == 2);
}

TEST_CASE_FIXTURE(Fixture, "a request id in use is not accepted again from any client") {
  arrive(1);
  arrive(1, 0, 4s, 1);
  CHECK(count("close 1") == 1);
  hear(dispatch::SessionOpened{dispatch::SessionId{2}});
  arrive(1, 0, 4s, 2);
  CHECK(to(1, 2)[0].kind == "failed");
}

TEST_CASE_FIXTURE(Fixture,
                  "corrupt rows are never sent: the connection is closed, and the request is retried") {
  for (const std::string rows : {"a\tb\n", "a\tb\tc", "a\tb\tc\n\n", "a\t\x01\tc\n"}) {
    Fixture f;
    f.arrive(1);
    const Out o = f.written();
    f.answer(o, ResponseType::result, 1, 0, rows);
    CHECK(f.links.count(o.link) == 0);
    f.pass(100ms);
    CHECK(f.to(1).empty());
    CHECK(f.count("req 0000000000000001") == 2);
  }
}

TEST_CASE_FIXTURE(
    Fixture, "each attempt has a connection of its own, and a silent connection is pinged, then closed") {
  arrive(1, 1);
  const Out first = written();
  arrive(2, 1);
  const Out second = written();
  CHECK(first.link != second.link);
  pass(800ms);
  CHECK(count("hello alive") == 2);
  confirm(first.link, "alive");
  pass(1s);
  CHECK(links.count(first.link) == 1);
  CHECK(to(1).empty());
  CHECK(links.count(second.link) == 0);
  CHECK(to(2)[0].kind == "failed");
}

TEST_CASE_FIXTURE(Fixture, "in a graceful shutdown whatever is open is answered by the deadline") {
  hear(dispatch::BeginShutdown{});
  arrive(1);
  written();
  arrive(2, 1);
  written();
  for (int i = 0; i < 8; ++i) {
    pass(400ms);
    for (const auto link : std::set(links)) confirm(link, "alive");
  }
  pass(200ms);
  CHECK(to(1)[0].kind == "refused");
  CHECK(to(2)[0].kind == "failed");
  CHECK(count("close 1") == 1);
  hear(dispatch::SessionClosed{dispatch::SessionId{1}});
  pass(1500ms);
  CHECK(core.shutdown_complete(now));
}

}  // namespace
}  // namespace yokestream::test
