// The dispatcher through random events, against a model of what is owed and what is in flight.
#include <doctest/doctest.h>

#include <algorithm>

#include "dispatcher_fixture.h"

namespace yokestream::test {
namespace {

// Random steps against a model: one answer for each request not given up, and never two attempts of one at
// once.
TEST_CASE("through random events each request gets one answer and never has two attempts in flight") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    SeededRandom steps(seed);
    DispatcherFixture f;
    std::set<dispatch::CallId> given_up;
    std::map<std::string, int> attempts;  // in flight, by request
    dispatch::CallId calls = 0;
    std::size_t seen = 0;
    for (int i = 0; i < 300; ++i) {
      const auto step = steps.below(12);
      if (step < 3) f.send_request(++calls, static_cast<std::uint32_t>(steps.below(2)));
      if (step == 3) f.advance(Duration(steps.below(1500) * 1ms));
      if (step == 4 && calls > 0) {
        const auto call = 1 + steps.below(calls);
        if (f.replies_to(call).empty()) given_up.insert(call);
        f.handle(dispatch::RequestCancelled{dispatch::SessionId{1}, call});
      }
      if (step > 4 && !f.attempts.empty()) {
        auto it = f.attempts.begin();
        std::advance(it, steps.below(f.attempts.size()));
        const DispatcherHarness::Attempt o = it->second;
        if (step == 5) {
          f.handle(dispatch::EngineConnected{o.connection});
          it->second.state = DispatcherHarness::AttemptState::written;
        } else if (step == 6 && f.connections.erase(o.connection) > 0) {
          for (const auto& [tag, other] : f.attempts) {
            if (other.connection == o.connection) attempts[other.id] = 0;
          }
          f.handle(dispatch::EngineDisconnected{o.connection, "reset"});
        } else if (o.state == DispatcherHarness::AttemptState::written) {
          f.attempts.erase(it);
          attempts[o.id] = 0;
          f.respond(o, step < 9    ? ResponseType::result
                       : step == 9 ? ResponseType::overloaded
                                   : ResponseType::failed);
        }
      }
      for (; seen < f.port_calls.size(); ++seen) {
        if (f.port_calls[seen].rfind("dropped ", 0) == 0) attempts[f.port_calls[seen].substr(8)] = 0;
        if (f.port_calls[seen].rfind("send ", 0) == 0) CHECK(++attempts[f.port_calls[seen].substr(5)] == 1);
      }
    }
    f.advance(10s);
    for (dispatch::CallId call = 1; call <= calls; ++call) {
      if (!given_up.count(call)) CHECK(f.replies_to(call).size() == 1);
    }
    CHECK(f.dispatcher.open_requests() == 0);
    CHECK(f.budget.reserved() == 0);
  }
}

// Clients, connections and engines come and go at random, an engine at the address of one that has gone among
// them. A session's answers are owed from its request to its end.
TEST_CASE("through any churn each accepted request has one answer by its deadline, unless its client left") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    SeededRandom steps(seed);
    DispatcherFixture f;
    struct Owed {
      int session = 0;
      Time deadline{};
      bool left = false;
    };
    std::map<dispatch::CallId, Owed> owed;
    int sessions = 1, engines = 2;
    std::set<int> there = {1};
    const auto any = [&](const auto& of) {
      auto it = of.begin();
      std::advance(it, steps.below(of.size()));
      return it;
    };
    const auto leave = [&](int session) {
      for (auto& [call, o] : owed) o.left |= o.session == session;
      f.handle(dispatch::SessionClosed{dispatch::SessionId(session)});
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = steps.below(16);
      if (step == 0) f.handle(dispatch::SessionOpened{dispatch::SessionId(*there.insert(++sessions).first)});
      if (step == 1 && there.size() > 1) {
        const auto it = any(there);
        leave(*it);
        there.erase(it);
      }
      if (step >= 2 && step < 7) {
        const auto call = static_cast<dispatch::CallId>(owed.size() + 1);
        const Duration left = (50 + steps.below(3900)) * 1ms;
        owed[call] = {*any(there), f.now + left, false};
        f.send_request(call, static_cast<std::uint32_t>(steps.below(2)), left, owed[call].session);
      }
      if (step == 7) f.advance(steps.below(900) * 1ms);
      if (step == 8) {  // one goes, and another comes to its address or to that of none
        const auto member = [](int n, const char* port, const char* state) {
          return R"({"uid":"e)" + std::to_string(n) + R"(","endpoint":"127.0.0.1:)" + port +
                 R"(","az":"z","model":"m","state":")" + state + R"(","boot_ms":)" + std::to_string(n) + "}";
        };
        const char* port = steps.below(2) ? "7001" : "7002";
        f.update_engine_list(member(engines, port, steps.below(2) ? "removed" : "draining") + "," +
                             member(engines + 1, port, "up"));
        ++engines;
      }
      if (step > 8 && !f.connections.empty()) {
        const auto link = *any(f.connections);
        if (step < 11) {
          f.handle(dispatch::EngineConnected{link});
          for (auto& [tag, o] : f.attempts) {
            if (o.connection == link) o.state = DispatcherHarness::AttemptState::written;
          }
        } else if (step == 11) {
          f.connections.erase(link);
          f.handle(dispatch::EngineDisconnected{link, "reset"});
        } else if (step == 12) {
          f.send_pong(link, "alive");
        }
      }
      if (step > 12 && !f.attempts.empty()) {
        const auto it = any(f.attempts);
        const DispatcherHarness::Attempt o = it->second;
        if (o.state != DispatcherHarness::AttemptState::written) continue;
        const auto pages = static_cast<std::uint32_t>(1 + steps.below(2));
        if (pages == 1) f.attempts.erase(it);
        f.respond(o, step < 15 ? ResponseType::result : ResponseType::failed, pages, 0, "a\tb\tc\n");
      }
    }
    f.advance(5s);
    for (const auto& [call, o] : owed) {
      const dispatch::CallId call_id = call;
      CAPTURE(call_id);
      const auto& to = f.replies_to(call, o.session);
      if (!o.left) REQUIRE(to.size() == 1);
      CHECK(to.size() <= 1);
      for (const auto& reply : to) CHECK((reply.at <= o.deadline));
    }
    CHECK(f.dispatcher.open_requests() == 0);
  }
}

}  // namespace
}  // namespace yokestream::test
