// The dispatcher under random events, checked against a model of open requests and attempts in flight.
#include <doctest/doctest.h>

#include <algorithm>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

// Guards against lost or duplicate answers and against a second attempt while the first is in flight, when
// responses, disconnects, cancellations and timers come in any order.
TEST_CASE("under random events each request gets one answer and never has two attempts in flight") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SeededRandom random(seed);
    DispatcherFixture f;
    std::set<dispatch::CallId> cancelled;
    std::map<std::string, int> attempts;  // in flight, by request id
    dispatch::CallId calls = 0;
    std::size_t checked_calls = 0;
    for (int i = 0; i < 300; ++i) {
      const auto step = random.below(12);
      if (step < 3) f.send_request(++calls, static_cast<std::uint32_t>(random.below(2)));
      if (step == 3) f.advance(Duration(random.below(1500) * 1ms));
      if (step == 4 && calls > 0) {
        const auto call = 1 + random.below(calls);
        if (f.replies_to(call).empty()) cancelled.insert(call);
        f.handle(dispatch::RequestCancelled{dispatch::SessionId{1}, call});
      }
      if (step > 4 && !f.attempts.empty()) {
        auto it = f.attempts.begin();
        std::advance(it, random.below(f.attempts.size()));
        const DispatcherHarness::Attempt attempt = it->second;
        if (step == 5) {
          f.handle(dispatch::EngineConnected{attempt.connection});
          it->second.state = DispatcherHarness::AttemptState::written;
        } else if (step == 6 && f.connections.erase(attempt.connection) > 0) {
          for (const auto& [tag, other] : f.attempts) {
            if (other.connection == attempt.connection) attempts[other.id] = 0;
          }
          f.handle(dispatch::EngineDisconnected{attempt.connection, "reset"});
        } else if (attempt.state == DispatcherHarness::AttemptState::written) {
          f.attempts.erase(it);
          attempts[attempt.id] = 0;
          f.respond(attempt, step < 9    ? ResponseType::result
                             : step == 9 ? ResponseType::overloaded
                                         : ResponseType::failed);
        }
      }
      for (; checked_calls < f.port_calls.size(); ++checked_calls) {
        if (f.port_calls[checked_calls].rfind("dropped ", 0) == 0)
          attempts[f.port_calls[checked_calls].substr(8)] = 0;
        if (f.port_calls[checked_calls].rfind("send ", 0) == 0)
          CHECK(++attempts[f.port_calls[checked_calls].substr(5)] == 1);
      }
    }
    f.advance(10s);
    for (dispatch::CallId call = 1; call <= calls; ++call) {
      if (!cancelled.count(call)) CHECK(f.replies_to(call).size() == 1);
    }
    CHECK(f.dispatcher.open_requests() == 0);
    CHECK(f.budget.reserved() == 0);
  }
}

// Guards against lost, duplicate or late answers while clients, connections and engines come and go at
// random. A new engine may take the address of a removed one. A client that has disconnected is owed no
// answer.
TEST_CASE("while clients and engines come and go each request gets one answer by its deadline") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    SeededRandom random(seed);
    DispatcherFixture f;
    struct ExpectedReply {
      int session = 0;
      Time deadline{};
      bool client_left = false;
    };
    std::map<dispatch::CallId, ExpectedReply> expected;
    int last_session = 1, last_engine = 2;
    std::set<int> open_sessions = {1};
    const auto any_of = [&](const auto& container) {
      auto it = container.begin();
      std::advance(it, random.below(container.size()));
      return it;
    };
    const auto disconnect = [&](int session) {
      for (auto& [call, reply] : expected) reply.client_left |= reply.session == session;
      f.handle(dispatch::SessionClosed{dispatch::SessionId(session)});
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = random.below(16);
      if (step == 0)
        f.handle(dispatch::SessionOpened{dispatch::SessionId(*open_sessions.insert(++last_session).first)});
      if (step == 1 && open_sessions.size() > 1) {
        const auto it = any_of(open_sessions);
        disconnect(*it);
        open_sessions.erase(it);
      }
      if (step >= 2 && step < 7) {
        const auto call = static_cast<dispatch::CallId>(expected.size() + 1);
        const Duration time_left = (50 + random.below(3900)) * 1ms;
        expected[call] = {*any_of(open_sessions), f.now + time_left, false};
        f.send_request(call, static_cast<std::uint32_t>(random.below(2)), time_left, expected[call].session);
      }
      if (step == 7) f.advance(random.below(900) * 1ms);
      if (step == 8) {  // an engine goes; a new one takes its address or a free one
        const auto member = [](int n, const char* port, const char* state) {
          return R"({"uid":"e)" + std::to_string(n) + R"(","endpoint":"127.0.0.1:)" + port +
                 R"(","az":"z","model":"m","state":")" + state + R"(","boot_ms":)" + std::to_string(n) + "}";
        };
        const char* port = random.below(2) ? "7001" : "7002";
        f.update_engine_list(member(last_engine, port, random.below(2) ? "removed" : "draining") + "," +
                             member(last_engine + 1, port, "up"));
        ++last_engine;
      }
      if (step > 8 && !f.connections.empty()) {
        const auto connection = *any_of(f.connections);
        if (step < 11) {
          f.handle(dispatch::EngineConnected{connection});
          for (auto& [tag, attempt] : f.attempts) {
            if (attempt.connection == connection) attempt.state = DispatcherHarness::AttemptState::written;
          }
        } else if (step == 11) {
          f.connections.erase(connection);
          f.handle(dispatch::EngineDisconnected{connection, "reset"});
        } else if (step == 12) {
          f.send_pong(connection, "alive");
        }
      }
      if (step > 12 && !f.attempts.empty()) {
        const auto it = any_of(f.attempts);
        const DispatcherHarness::Attempt attempt = it->second;
        if (attempt.state != DispatcherHarness::AttemptState::written) continue;
        const auto pages = static_cast<std::uint32_t>(1 + random.below(2));
        if (pages == 1) f.attempts.erase(it);
        f.respond(attempt, step < 15 ? ResponseType::result : ResponseType::failed, pages, 0, "a\tb\tc\n");
      }
    }
    f.advance(5s);
    for (const auto& [call, reply] : expected) {
      const dispatch::CallId call_id = call;
      CAPTURE(call_id);
      const auto& received = f.replies_to(call, reply.session);
      if (!reply.client_left) REQUIRE(received.size() == 1);
      CHECK(received.size() <= 1);
      for (const auto& answer : received) CHECK((answer.at <= reply.deadline));
    }
    CHECK(f.dispatcher.open_requests() == 0);
  }
}

}  // namespace
}  // namespace yokestream::test
