// The service states, drains and figures, on the core with fake ports and a fake clock; the operators' words.
#include <doctest/doctest.h>

#include "dispatch/service_lifecycle.h"
#include "helper.h"
#include "protocol/management_call.h"

namespace yokestream::test {
namespace {

using dispatch::ServiceLifecycle;
using State = ServiceLifecycle::State;

// The table of service.h, step by step, beside a model that knows only the table.
struct Table {
  State state = State::ready;
  Time since{};
  void step(int word, Time now, bool closing) {
    const auto enter = [&](State next) { state = next, since = now; };
    const bool sends_away = state == State::draining || state == State::drained;
    if (word == 0 && (state == State::ready || state == State::resuming)) enter(State::draining);
    if (word == 1 && sends_away) enter(State::resuming);
    if (word == 2 && state != State::shutting_down) enter(State::shutting_down);
    if (word != 3) return;
    if (state == State::draining && now - since >= 1600ms) return enter(State::drained);
    if (state == State::resuming && (!closing || now - since >= 1s)) enter(State::ready);
  }
};

TEST_CASE("the service states follow their table through random calls and times") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    Steps steps(seed);
    ServiceLifecycle service;
    Table table;
    Time now{Duration(1000s)};
    for (int i = 0; i < 200; ++i) {
      now += Duration(1ms) * static_cast<int>(steps.below(900));
      const int word = steps.below(60) == 0 ? 2 : std::array{0, 1, 3, 3}[steps.below(4)];
      const bool closing = steps.below(2) == 0;
      if (word == 0) service.start_draining(now);
      if (word == 1) service.resume(now);
      if (word == 2) service.begin_shutdown(now, steps.below(2) == 0, 4s);
      if (word == 3) service.tick(now, closing);
      table.step(word, now, closing);
      REQUIRE(service.state() == table.state);
      REQUIRE(service.is_ready() == (table.state == State::ready));
      const bool sends_away = table.state == State::draining || table.state == State::drained;
      if (table.state != State::shutting_down) REQUIRE(service.closes_idle_connections(now) == sends_away);
      if (table.state != State::shutting_down)
        REQUIRE(service.accepts_requests(now) == (table.state != State::drained));
    }
  }
}

bool said(const Core& c, const std::string& what) {
  return std::find(c.said.begin(), c.said.end(), what) != c.said.end();
}

TEST_CASE("draining closes idle sessions at once, others after their last answer, and rejects late ones") {
  Core c(config::decode_config(config_text()));
  c.hear(dispatch::SessionOpened{dispatch::SessionId{2}});
  c.arrive(1, 0, 4s, 2);
  c.answer(c.written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  c.arrive(1);
  const auto out = c.written();
  c.hear(dispatch::StartDraining{});
  c.hear(dispatch::ProbeReceived{dispatch::SessionId{1}, 9});
  CHECK(c.to(9).back().kind == "leaving");
  c.pass(300ms);
  CHECK(said(c, "close 2"));
  CHECK_FALSE(said(c, "close 1"));
  c.arrive(2);  // served as usual
  c.answer(out, ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK_FALSE(said(c, "close 1"));  // it has one open still
  c.answer(c.only(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(c.to(2).back().kind == "served");
  CHECK_FALSE(said(c, "close 1"));  // who asks again at once is not cut off just then
  c.pass(60ms);
  CHECK(said(c, "close 1"));
  c.hear(dispatch::SessionClosed{dispatch::SessionId{1}});
  c.pass(2s);
  c.hear(dispatch::SessionOpened{dispatch::SessionId{3}});
  c.arrive(1, 0, 4s, 3);
  CHECK(c.to(1, 3).back().kind == "refused");
  c.pass(400ms);
  CHECK(said(c, "close 3"));
}

TEST_CASE("resuming, also while draining, is ready within two seconds; a shutdown stays a shutdown") {
  Core c(config::decode_config(config_text()));
  for (const Duration when : {0ms, 500ms, 3000ms}) {
    c.hear(dispatch::StartDraining{});
    c.pass(when);
    c.hear(dispatch::Resume{});
    c.hear(dispatch::Resume{});
    c.pass(2s);
    CHECK(c.core.lifecycle().is_ready());
    c.arrive(1000 + static_cast<dispatch::CallId>(when / 1ms));
    CHECK(c.to(1000 + static_cast<dispatch::CallId>(when / 1ms)).empty());  // it is out
  }
  c.hear(dispatch::StartDraining{});
  c.hear(dispatch::BeginShutdown{});
  c.hear(dispatch::Resume{});
  c.pass(2s);
  CHECK(c.core.lifecycle().is_shutting_down());
}

TEST_CASE("with a successor a shutdown accepts no connection, closes idle ones, and serves what is open") {
  Core c(config::decode_config(config_text()));
  c.arrive(1);
  c.answer(c.written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  c.hear(dispatch::BeginShutdown{true, 4700ms});
  CHECK_FALSE(c.core.lifecycle().accepts_connections(c.now));
  c.pass(1500ms);  // a planned restart without one takes nothing any more by now
  c.hear(dispatch::SessionOpened{dispatch::SessionId{2}});
  c.arrive(1, 0, 4s, 2);
  c.answer(c.written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(c.to(1, 2).back().kind == "served");
  c.pass(60ms);
  CHECK(said(c, "close 2"));
}

TEST_CASE(
    "a request that crosses the close of its connection is answered once, and nothing else is cut off") {
  Core c(config::decode_config(config_text()));
  c.arrive(1);
  c.answer(c.written(), ResponseType::result, 1, 0, "a\tb\tc\n");
  c.hear(dispatch::BeginShutdown{true, 4700ms});
  c.pass(60ms);
  REQUIRE(said(c, "close 1"));
  c.arrive(2);             // its bytes were read before the close was
  CHECK(c.to(2).empty());  // it is out
  c.answer(c.only(), ResponseType::result, 1, 0, "a\tb\tc\n");
  CHECK(c.to(2).size() == 1);
  c.hear(dispatch::SessionClosed{dispatch::SessionId{1}});
  c.pass(4s);
  CHECK(c.to(2).size() == 1);
  CHECK(c.core.open_requests() == 0);
}

// Random days: what the figures say is what clients and engines counted.
TEST_CASE("through random events the metrics are what clients received and what is open") {
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    Steps steps(seed);
    Core c(config::decode_config(config_text()));
    for (int step = 0; step < 400; ++step) {
      const auto chance = steps.below(10);
      if (chance < 4)
        c.arrive(static_cast<dispatch::CallId>(step) + 1, steps.below(2),
                 500ms + 1ms * static_cast<int>(steps.below(3000)));
      if (chance == 4 && !c.out.empty())
        c.hear(dispatch::EngineConnected{c.only().link}), c.only().state = Core::Sent::written;
      if (chance == 5 && !c.out.empty())
        c.answer(Core::Out(c.only()), ResponseType::result, 1, 0, "a\tb\tc\n");
      if (chance == 6 && !c.out.empty()) c.answer(Core::Out(c.only()), ResponseType::failed);
      if (chance == 7) c.pass(1ms * static_cast<int>(steps.below(800)));
      if (steps.below(40) == 0) c.hear(dispatch::StartDraining{});
      if (steps.below(40) == 0) c.hear(dispatch::Resume{});
    }
    c.pass(250ms);
    std::map<std::string, int> heard;
    for (const auto& [key, replies] : c.replies)
      heard[replies.at(0).kind] += static_cast<int>(replies.size());
    const std::string text = c.core.metrics().text();
    const auto value = [&](const std::string& name) {
      const auto at = text.find("edge_relay." + name + ":");
      REQUIRE(at != std::string::npos);
      return std::stoi(text.substr(text.find(':', at) + 1));
    };
    for (const std::string end : {"served", "refused", "failed"})
      CHECK(value("requests.look." + end) + value("requests.load." + end) == heard[end]);
    CHECK(value("in_flight") == static_cast<int>(c.core.open_requests()));
    CHECK(value("engines_known") == 1);
    CHECK(heard["served"] > 0);
  }
}

TEST_CASE("the operators' words may come in any pieces; all else is a bad call with its cause") {
  const auto read = [](std::string_view bytes, Steps& steps) {
    protocol::ManagementReader reader;
    while (!bytes.empty()) {
      const std::size_t size = 1 + steps.below(std::min<std::size_t>(bytes.size(), 50));
      reader.feed(bytes.substr(0, size));
      bytes.remove_prefix(size);
    }
    return reader.call();
  };
  Steps steps(7);
  const auto is = [](const auto& call, protocol::ManagementWord word) {
    return call && std::holds_alternative<protocol::ManagementWord>(*call) &&
           std::get<protocol::ManagementWord>(*call) == word;
  };
  for (int i = 0; i < 20; ++i) {
    CHECK(is(read("readyz\n", steps), protocol::ManagementWord::readyz));
    CHECK(is(read("telemetry\r\nmore\n", steps), protocol::ManagementWord::telemetry));
    CHECK(is(read(" evacuate \n", steps), protocol::ManagementWord::evacuate));
    CHECK(is(read("activate\n", steps), protocol::ManagementWord::activate));
    CHECK_FALSE(read("readyz", steps));
    for (const std::string& bad : {std::string("READYZ\n"), std::string("\n"), std::string("readyz now\n"),
                                   std::string("\xff\0\n", 3), std::string(1 << 14, 'x')}) {
      const auto call = read(bad, steps);
      REQUIRE(call);
      CHECK(std::holds_alternative<protocol::BadManagementCall>(*call));
    }
  }
}

}  // namespace
}  // namespace yokestream::test
