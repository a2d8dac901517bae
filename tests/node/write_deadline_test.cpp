// What permitted an attempt may end while its connection is being established: each such limit is checked
// until the attempt is written.
#include <doctest/doctest.h>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

constexpr std::uint32_t kLoadClass = 1;
constexpr Duration kDeduplicationWindow = 600ms;  // shorter than the interval of pings

config::Config keyed_load_config() {
  config::Config config = config::decode_config(config_text());
  auto& load = config.settings.classes[kLoadClass];
  load.idempotency = policy::Idempotency::keyed;
  load.deduplication_scope = policy::DeduplicationScope::everywhere;
  load.deduplication_window = kDeduplicationWindow;
  config.real.dial_time = 2s;
  return config;
}

struct KeyedLoadFixture : DispatcherHarness {
  KeyedLoadFixture() : DispatcherHarness(keyed_load_config()) { advance(100ms); }
  // The first attempt is written, and its connection breaks `age` later. Returns when it was sent.
  Time lose_first_attempt_after(Duration age) {
    const Time sent_at = now;
    send_request(1, kLoadClass, 20s);
    const auto first = write_last_attempt();
    advance(age);
    attempts.clear();
    handle(dispatch::EngineDisconnected{first.connection, "reset"});
    return sent_at;
  }
};

// Guards against a load that runs twice: its repeat waited for a connection and was written after the window
// in which engines discard repeats (review/2, docs/incidents/late-repeat.md).
TEST_CASE_FIXTURE(KeyedLoadFixture,
                  "a repeat that is not written within the deduplication window is withdrawn") {
  const Time sent_at = lose_first_attempt_after(kDeduplicationWindow - 150ms);
  REQUIRE(attempts.size() == 1);  // the repeat waits for its connection
  CHECK(last_attempt().write_deadline <= sent_at + kDeduplicationWindow);
  advance(200ms);
  CHECK(attempts.empty());
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1).back().kind == "refused");  // engines deduplicate everywhere
}

TEST_CASE_FIXTURE(KeyedLoadFixture, "a repeat that is written within the deduplication window is served") {
  lose_first_attempt_after(100ms);
  REQUIRE(attempts.size() == 1);
  advance(300ms);
  respond(write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  advance(kDeduplicationWindow);
  REQUIRE(replies_to(1).size() == 1);
  CHECK(replies_to(1).back().kind == "served");
}

TEST_CASE_FIXTURE(KeyedLoadFixture, "an attempt is not written once its response deadline has passed") {
  const Time sent_at = now;
  send_request(1, 0, 1s);
  REQUIRE(attempts.size() == 1);
  CHECK(last_attempt().write_deadline <= sent_at + 1s);
  advance(1s);
  CHECK(attempts.empty());
}

struct NoCancelFixture : DispatcherHarness {
  static config::Config no_cancel_config() {
    config::Config config = keyed_load_config();
    config.settings.may_cancel = false;
    return config;
  }
  NoCancelFixture() : DispatcherHarness(no_cancel_config()) { advance(100ms); }
};

// Guards against queries that are sent for a client that has gone, where the settings forbid cancels.
TEST_CASE_FIXTURE(NoCancelFixture,
                  "an unwritten attempt is withdrawn once its client cancels, leaves or has left") {
  send_request(1);
  REQUIRE(attempts.size() == 1);
  handle(dispatch::RequestCancelled{dispatch::SessionId{1}, 1});
  CHECK(attempts.empty());
  send_request(2);
  REQUIRE(attempts.size() == 1);
  disconnected_sessions.insert(dispatch::SessionId{1});  // the event is still to come
  send_request(3);
  CHECK(attempts.size() == 1);
  handle(dispatch::SessionClosed{dispatch::SessionId{1}});
  CHECK(attempts.empty());
  CHECK(dispatcher.open_requests() == 0);
}

}  // namespace
}  // namespace yokestream::test
