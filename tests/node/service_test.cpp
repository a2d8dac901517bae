// Service states, drains and metrics of the dispatcher on fake ports and a fake clock; management calls.
#include <doctest/doctest.h>

#include "dispatch/service_lifecycle.h"
#include "helper.h"
#include "protocol/management_call.h"

namespace yokestream::test {
namespace {

using dispatch::ServiceLifecycle;
using State = ServiceLifecycle::State;

// A model of the state table in service_lifecycle.h. Steps: 0 start_draining(), 1 resume(), 2
// begin_shutdown(), 3 tick().
struct StateModel {
  State state = State::ready;
  Time since{};
  void step(int operation, Time now, bool closing) {
    const auto enter = [&](State next) { state = next, since = now; };
    const bool is_draining = state == State::draining || state == State::drained;
    if (operation == 0 && (state == State::ready || state == State::resuming)) enter(State::draining);
    if (operation == 1 && is_draining) enter(State::resuming);
    if (operation == 2 && state != State::shutting_down) enter(State::shutting_down);
    if (operation != 3) return;
    if (state == State::draining && now - since >= 1600ms) return enter(State::drained);
    if (state == State::resuming && (!closing || now - since >= 1s)) enter(State::ready);
  }
};

TEST_CASE("the service states follow their state table under random calls and times") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom random(seed);
    ServiceLifecycle service;
    StateModel model;
    Time now{Duration(1000s)};
    for (int i = 0; i < 200; ++i) {
      now += Duration(1ms) * static_cast<int>(random.below(900));
      const int operation = random.below(60) == 0 ? 2 : std::array{0, 1, 3, 3}[random.below(4)];
      const bool closing = random.below(2) == 0;
      if (operation == 0) service.start_draining(now);
      if (operation == 1) service.resume(now);
      if (operation == 2) service.begin_shutdown(now, random.below(2) == 0, 4s);
      if (operation == 3) service.tick(now, closing);
      model.step(operation, now, closing);
      REQUIRE(service.state() == model.state);
      REQUIRE(service.is_ready() == (model.state == State::ready));
      const bool is_draining = model.state == State::draining || model.state == State::drained;
      if (model.state != State::shutting_down) REQUIRE(service.closes_idle_connections(now) == is_draining);
      if (model.state != State::shutting_down)
        REQUIRE(service.accepts_requests(now) == (model.state != State::drained));
    }
  }
}

bool was_called(const DispatcherHarness& harness, const std::string& call) {
  return std::find(harness.port_calls.begin(), harness.port_calls.end(), call) != harness.port_calls.end();
}

TEST_CASE(
    "draining closes idle sessions at once and others after their last answer; drained rejects requests") {
  DispatcherHarness harness(config::decode_config(config_text()));
  harness.handle(dispatch::SessionOpened{dispatch::SessionId{2}});
  harness.send_request(1, 0, 4s, 2);
  harness.respond(harness.write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  harness.send_request(1);
  const auto in_flight = harness.write_last_attempt();
  harness.handle(dispatch::StartDraining{});
  harness.handle(dispatch::ProbeReceived{dispatch::SessionId{1}, 9});
  CHECK(harness.replies_to(9).back().kind == "not ready");
  harness.advance(300ms);
  CHECK(was_called(harness, "close 2"));
  CHECK_FALSE(was_called(harness, "close 1"));
  harness.send_request(2);  // is served as usual
  harness.respond(in_flight, ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK_FALSE(was_called(harness, "close 1"));  // another of its requests is open
  harness.respond(harness.last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(harness.replies_to(2).back().kind == "served");
  CHECK_FALSE(was_called(harness, "close 1"));  // a client that sends its next request at once is not cut off
  harness.advance(60ms);
  CHECK(was_called(harness, "close 1"));
  harness.handle(dispatch::SessionClosed{dispatch::SessionId{1}});
  harness.advance(2s);
  harness.handle(dispatch::SessionOpened{dispatch::SessionId{3}});
  harness.send_request(1, 0, 4s, 3);
  CHECK(harness.replies_to(1, 3).back().kind == "refused");
  harness.advance(400ms);
  CHECK(was_called(harness, "close 3"));
}

TEST_CASE("after a resume, also while draining, it is ready within two seconds; a shutdown is final") {
  DispatcherHarness harness(config::decode_config(config_text()));
  for (const Duration drain_time : {0ms, 500ms, 3000ms}) {
    harness.handle(dispatch::StartDraining{});
    harness.advance(drain_time);
    harness.handle(dispatch::Resume{});
    harness.handle(dispatch::Resume{});
    harness.advance(2s);
    CHECK(harness.dispatcher.lifecycle().is_ready());
    harness.send_request(1000 + static_cast<dispatch::CallId>(drain_time / 1ms));
    // The request was accepted and is in flight.
    CHECK(harness.replies_to(1000 + static_cast<dispatch::CallId>(drain_time / 1ms)).empty());
  }
  harness.handle(dispatch::StartDraining{});
  harness.handle(dispatch::BeginShutdown{});
  harness.handle(dispatch::Resume{});
  harness.advance(2s);
  CHECK(harness.dispatcher.lifecycle().is_shutting_down());
}

TEST_CASE("a shutdown with a successor accepts no connection, closes idle sessions and serves the others") {
  DispatcherHarness harness(config::decode_config(config_text()));
  harness.send_request(1);
  harness.respond(harness.write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  harness.handle(dispatch::BeginShutdown{true, 4700ms});
  CHECK_FALSE(harness.dispatcher.lifecycle().accepts_connections(harness.now));
  harness.advance(1500ms);  // without a successor it would reject requests by now
  harness.handle(dispatch::SessionOpened{dispatch::SessionId{2}});
  harness.send_request(1, 0, 4s, 2);
  harness.respond(harness.write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(harness.replies_to(1, 2).back().kind == "served");
  harness.advance(60ms);
  CHECK(was_called(harness, "close 2"));
}

// Guards against a shutdown that outlasts short deadlines: the process was killed while clients had requests
// open (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE("a shutdown answers all requests and is due to exit before the process may be killed") {
  for (const Duration until_kill : {1000ms, 1300ms, 1700ms, 2200ms, 3700ms}) {
    CAPTURE(until_kill.count());
    for (const bool has_successor : {false, true}) {
      DispatcherHarness harness(config::decode_config(config_text()));
      harness.send_request(1, 1);
      harness.write_last_attempt();
      const Time begin = harness.now;
      harness.handle(dispatch::BeginShutdown{has_successor, until_kill});
      const auto& lifecycle = harness.dispatcher.lifecycle();
      CHECK((lifecycle.exit_deadline() <= begin + until_kill - 200ms));
      CHECK((lifecycle.shutdown_deadline() < lifecycle.exit_deadline()));
      CHECK(lifecycle.accepts_connections(begin + 400ms) == !has_successor);
      for (dispatch::CallId call = 2; harness.now < lifecycle.exit_deadline() - 50ms; ++call) {
        harness.send_request(call);
        harness.advance(50ms);
      }
      for (const auto& [call, replies] : harness.replies) CHECK(replies.size() == 1);
      CHECK(harness.dispatcher.open_requests() == 0);
    }
  }
}

TEST_CASE("a request that arrives while its connection is being closed is answered once") {
  DispatcherHarness harness(config::decode_config(config_text()));
  harness.send_request(1);
  harness.respond(harness.write_last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  harness.handle(dispatch::BeginShutdown{true, 4700ms});
  harness.advance(60ms);
  REQUIRE(was_called(harness, "close 1"));
  harness.send_request(2);               // was read before the connection was closed
  CHECK(harness.replies_to(2).empty());  // the request is in flight
  harness.respond(harness.last_attempt(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(harness.replies_to(2).size() == 1);
  harness.handle(dispatch::SessionClosed{dispatch::SessionId{1}});
  harness.advance(4s);
  CHECK(harness.replies_to(2).size() == 1);
  CHECK(harness.dispatcher.open_requests() == 0);
}

// Guards against requests that are counted twice, not at all or with the wrong outcome.
TEST_CASE("under random events the metrics match the answers that clients received and the open requests") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    SeededRandom random(seed);
    DispatcherHarness harness(config::decode_config(config_text()));
    for (int step = 0; step < 400; ++step) {
      const auto event = random.below(10);
      if (event < 4)
        harness.send_request(static_cast<dispatch::CallId>(step) + 1, random.below(2),
                             500ms + 1ms * static_cast<int>(random.below(3000)));
      if (event == 4 && !harness.attempts.empty())
        harness.handle(dispatch::EngineConnected{harness.last_attempt().connection}),
            harness.last_attempt().state = DispatcherHarness::AttemptState::written;
      if (event == 5 && !harness.attempts.empty())
        harness.respond(DispatcherHarness::Attempt(harness.last_attempt()), ResponseType::result, 1, 0,
                        "a\tb\tc\n");
      if (event == 6 && !harness.attempts.empty())
        harness.respond(DispatcherHarness::Attempt(harness.last_attempt()), ResponseType::failed);
      if (event == 7) harness.advance(1ms * static_cast<int>(random.below(800)));
      if (random.below(40) == 0) harness.handle(dispatch::StartDraining{});
      if (random.below(40) == 0) harness.handle(dispatch::Resume{});
    }
    harness.advance(250ms);
    std::map<std::string, int> received;
    for (const auto& [key, replies] : harness.replies)
      received[replies.at(0).kind] += static_cast<int>(replies.size());
    const std::string text = harness.dispatcher.metrics().text();
    const auto value = [&](const std::string& name) {
      const auto at = text.find("edge_relay." + name + ":");
      REQUIRE(at != std::string::npos);
      return std::stoi(text.substr(text.find(':', at) + 1));
    };
    for (const std::string outcome : {"served", "refused", "failed"})
      CHECK(value("requests.look." + outcome) + value("requests.load." + outcome) == received[outcome]);
    CHECK(value("in_flight") == static_cast<int>(harness.dispatcher.open_requests()));
    CHECK(value("engines_known") == 1);
    CHECK(received["served"] > 0);
  }
}

TEST_CASE("a management call may arrive in pieces of any size; any other text is a BadManagementCall") {
  const auto read = [](std::string_view bytes, SeededRandom& random) {
    protocol::ManagementReader reader;
    while (!bytes.empty()) {
      const std::size_t size = 1 + random.below(std::min<std::size_t>(bytes.size(), 50));
      reader.feed(bytes.substr(0, size));
      bytes.remove_prefix(size);
    }
    return reader.call();
  };
  SeededRandom random(7);
  const auto is_word = [](const auto& call, protocol::ManagementWord word) {
    return call && std::holds_alternative<protocol::ManagementWord>(*call) &&
           std::get<protocol::ManagementWord>(*call) == word;
  };
  for (int i = 0; i < 20; ++i) {
    CHECK(is_word(read("readyz\n", random), protocol::ManagementWord::readyz));
    CHECK(is_word(read("telemetry\r\nmore\n", random), protocol::ManagementWord::telemetry));
    CHECK(is_word(read(" evacuate \n", random), protocol::ManagementWord::evacuate));
    CHECK(is_word(read("activate\n", random), protocol::ManagementWord::activate));
    CHECK_FALSE(read("readyz", random));
    for (const std::string& bad : {std::string("READYZ\n"), std::string("\n"), std::string("readyz now\n"),
                                   std::string("\xff\0\n", 3), std::string(1 << 14, 'x')}) {
      const auto call = read(bad, random);
      REQUIRE(call);
      CHECK(std::holds_alternative<protocol::BadManagementCall>(*call));
    }
  }
}

}  // namespace
}  // namespace yokestream::test
