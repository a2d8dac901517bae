// From the module's choice to a link: lacks on this machine, and clients that have gone unseen.
#include <doctest/doctest.h>

#include "core_fixture.h"

namespace yokestream::test {
namespace {

struct Dialing : Fixture {
  void no_link() { hear(dispatch::EngineDisconnected{only().link, "no port", true}); }
  long sends() const { return count("req 0000000000000001"); }
};

TEST_CASE_FIXTURE(Dialing,
                  "a lack on this machine is dialed again as the same attempt, past the most attempts") {
  arrive(1, 1);  // one that must not run twice
  for (int i = 0; i < 10; ++i) {
    no_link();
    pass(10ms);
  }
  CHECK(sends() == 11);
  CHECK(to(1).empty());
  answer(written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(to(1).back().kind == "served");
}

TEST_CASE_FIXTURE(
    Dialing,
    "a lack that lasts is told as never sent: the request is refused, and the engine is not avoided") {
  arrive(1);
  for (int i = 0; i < 400 && to(1).empty(); ++i) {
    if (!out.empty()) no_link();
    pass(10ms);
  }
  REQUIRE_FALSE(to(1).empty());
  CHECK(to(1).back().kind == "refused");
  CHECK(core.metrics().text().find("engines_excluded:0") != std::string::npos);
}

TEST_CASE_FIXTURE(Dialing, "who leaves, or runs out of time, while it is dialed again is sent to nobody") {
  arrive(1);
  no_link();
  hear(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  pass(1s);
  CHECK(sends() == 1);
  CHECK(core.open_requests() == 0);
  arrive(2, 0, 200ms);
  no_link();
  pass(1s);
  CHECK(to(2).size() == 1);
}

TEST_CASE_FIXTURE(Dialing, "an engine that drains while it is dialed again gets nothing") {
  arrive(1);
  no_link();
  list(R"({"uid":"e1","az":"z","model":"m","state":"draining"})");
  pass(1s);
  CHECK(sends() == 1);
}

// What the module holds may wait for seconds; the word that its client has gone may still be unread.
TEST_CASE_FIXTURE(Dialing,
                  "what is held is not sent once its client has closed, though nobody has read that yet") {
  arrive(1);
  answer(written(), ResponseType::overloaded);  // it waits before it tries again
  gone.insert(dispatch::SessionId{1});
  pass(3s);
  CHECK(sends() == 1);
  CHECK(core.open_requests() == 0);
  CHECK(to(1).empty());
  hear(dispatch::SessionClosed{dispatch::SessionId{1}});
}

TEST_CASE_FIXTURE(Dialing, "a session of which nothing more is read is finished once it owes nothing") {
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
