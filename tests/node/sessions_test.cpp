// Which client connections are closed, and when.
#include <doctest/doctest.h>

#include <algorithm>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(DispatcherFixture,
                  "an idle client is disconnected, one with an open request or unread data is not") {
  const auto session = [](int n) { return dispatch::SessionId(n); };
  send_request(1);
  for (const int n : {2, 3}) handle(dispatch::SessionOpened{session(n)});
  sessions_with_unread_data.insert(session(3));
  advance(2500ms);
  CHECK(count("close 1") + count("close 3") == 0);
  CHECK(count("close 2") == 1);
  sessions_with_unread_data.clear();
  handle(dispatch::ProbeReceived{session(3), 1});
  advance(5s);
  CHECK(count("close 3") == 0);
  advance(2s);
  CHECK(count("close 3") == 1);
}

TEST_CASE("near the connection limit clients without a result go first, those with open requests never") {
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
  sessions.cancel_close(id(4));  // data had arrived from it
  CHECK((sessions.add(at, id(7)) == id(4)));
}

TEST_CASE(
    "a client with many answers and no result is flooding; idle ones are closed without a new one too") {
  dispatch::ClientSessions sessions({4, 32, 8, 2s, 6s, 1s, 3});
  const auto id = [](int n) { return dispatch::SessionId(n); };
  const Time at{1000s};
  for (int n = 1; n <= 3; ++n) sessions.add(at, id(n));
  sessions.on_result_sent(at, id(1));
  for (int n = 0; n < 5; ++n) CHECK_FALSE(sessions.on_response_sent(at, id(1)));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));
  sessions.on_request_opened(at, id(2));
  CHECK_FALSE(sessions.on_response_sent(at, id(2)));  // its open request is answered first
  sessions.on_request_closed(at, id(2));
  CHECK(sessions.on_response_sent(at, id(2)));
  sessions.on_request_opened(at, id(3));
  CHECK((sessions.take_idle(at, std::nullopt) == std::vector{id(2)}));
}

}  // namespace
}  // namespace yokestream::test
