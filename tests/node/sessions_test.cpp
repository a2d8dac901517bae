// Client connections: who is closed, and when.
#include <doctest/doctest.h>

#include <algorithm>

#include "core_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(Fixture,
                  "a client without a request is closed, one with something open or on its way is not") {
  const auto session = [](int n) { return dispatch::SessionId(n); };
  arrive(1);
  for (const int n : {2, 3}) hear(dispatch::SessionOpened{session(n)});
  busy.insert(session(3));
  pass(2500ms);
  CHECK(count("close 1") + count("close 3") == 0);
  CHECK(count("close 2") == 1);
  busy.clear();
  hear(dispatch::ProbeReceived{session(3), 1});
  pass(5s);
  CHECK(count("close 3") == 0);
  pass(2s);
  CHECK(count("close 3") == 1);
}

TEST_CASE("as connections run short, one never served is closed first, one with open requests never") {
  dispatch::ClientSessions sessions({4, 32, 8, 2s, 6s, 1s, 3});
  const auto id = [](int n) { return dispatch::SessionId(n); };
  const Time at{1000s};
  for (int n = 1; n <= 3; ++n) CHECK_FALSE(sessions.add(at + n * 1ms, id(n)).has_value());
  sessions.on_request_opened(at, id(1));
  sessions.on_result_sent(at, id(2));
  CHECK((sessions.add(at, id(4)) == id(3)));
  sessions.remove(id(3));
  CHECK((sessions.add(at, id(5)) == id(4)));
  CHECK((sessions.add(at, id(6)) == id(5)));
  sessions.cancel_close(id(4));  // something had come from it
  CHECK((sessions.add(at, id(7)) == id(4)));
}

TEST_CASE("a client answered often and never served floods; idle ones are closed without new ones too") {
  dispatch::ClientSessions sessions({4, 32, 8, 2s, 6s, 1s, 3});
  const auto id = [](int n) { return dispatch::SessionId(n); };
  const Time at{1000s};
  for (int n = 1; n <= 3; ++n) sessions.add(at, id(n));
  sessions.on_result_sent(at, id(1));
  for (int n = 0; n < 5; ++n) CHECK_FALSE(sessions.on_response_sent(at, id(1)));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));
  sessions.on_request_opened(at, id(2));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));  // what is open is owed its answer first
  sessions.on_request_closed(at, id(2));
  CHECK(sessions.on_response_sent(at, id(2)));
  sessions.on_request_opened(at, id(3));
  CHECK((sessions.take_idle(at, std::nullopt) == std::vector{id(2)}));
}

}  // namespace
}  // namespace yokestream::test
