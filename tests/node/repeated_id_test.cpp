// Requests whose id comes again after the first request with it has ended.
#include <doctest/doctest.h>

#include "dispatch/executed_request_ids.h"
#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

constexpr std::uint32_t kLookClass = 0;  // may run twice
constexpr std::uint32_t kLoadClass = 1;  // must not
constexpr int kOtherSession = 2;

struct RepeatedIdFixture : DispatcherFixture {
  RepeatedIdFixture() { handle(dispatch::SessionOpened{dispatch::SessionId{kOtherSession}}); }
  // The requests of a class under one id from two sessions; the first client leaves. Returns the attempts.
  std::size_t send_twice(std::uint32_t query_class, bool engine_runs_it) {
    send_request(1, query_class);
    const auto first = write_last_attempt();
    if (!engine_runs_it) respond(first, ResponseType::overloaded);
    handle(dispatch::SessionClosed{dispatch::SessionId{1}});
    if (engine_runs_it)
      send_pong(first.connection, dispatch::cancel_confirmation_tag(attempts.rbegin()->first));
    advance(10ms);
    const std::size_t before = attempts.size();
    send_request(1, query_class, 4s, kOtherSession);
    advance(1s);  // the module waits before it sends to an engine that was overloaded
    return attempts.size() - before;
  }
};

// Guards against a load that runs twice: its id came again after its client had left (docs/incidents/
// repeated-id.md).
TEST_CASE_FIXTURE(RepeatedIdFixture, "a load whose id may have run under another client fails unsent") {
  CHECK(send_twice(kLoadClass, true) == 0);
  REQUIRE(replies[{dispatch::SessionId{kOtherSession}, 1}].size() == 1);
  CHECK(replies[{dispatch::SessionId{kOtherSession}, 1}].back().kind == "failed");
}

TEST_CASE_FIXTURE(RepeatedIdFixture, "a load whose id never ran is sent") {
  CHECK(send_twice(kLoadClass, false) == 1);
}

TEST_CASE_FIXTURE(RepeatedIdFixture, "a query that may run twice is sent again under its id") {
  CHECK(send_twice(kLookClass, true) == 1);
}

TEST_CASE("executed ids are forgotten after a while, and the oldest when there are too many") {
  dispatch::ExecutedRequestIds ids;
  const Time start{1000s};
  ids.add(start, "first");
  ids.add(start + 1s, "second");
  ids.forget_until(start + 1s);
  CHECK_FALSE(ids.contains("first"));
  CHECK(ids.contains("second"));
  for (std::size_t i = 0; i < dispatch::ExecutedRequestIds::kMaxIds; ++i)
    ids.add(start + 2s, std::to_string(i));
  CHECK_FALSE(ids.contains("second"));
  CHECK(ids.contains("0"));
}

}  // namespace
}  // namespace yokestream::test
