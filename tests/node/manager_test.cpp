#include <doctest/doctest.h>

#include <algorithm>

#include "helper.h"

namespace yokestream::test {
namespace {

struct Fixture : Core {
  Fixture() : Core(config::decode_config(config_text())) { pass(100ms); }
  long count(const std::string& words) const { return std::count(said.begin(), said.end(), words); }
};

TEST_CASE_FIXTURE(Fixture, "a result of several pages is fetched, ended and passed on in order") {
  arrive(1);
  const Out o = written();
  answer(o, AnswerWord::served, 3, 0, "a\t1\t\n");
  CHECK(count("fetch 1") + count("fetch 2") == 2);
  answer(o, AnswerWord::rows, 1, 2, "c\t3\t\n");
  CHECK(to(1).empty());
  answer(o, AnswerWord::rows, 1, 1, "b\t2\t\n");
  CHECK(said.back() == "end " + o.id);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].rows == "a\t1\t\nb\t2\t\nc\t3\t\n");
  CHECK(budget.used() == 0);
}

TEST_CASE_FIXTURE(Fixture, "a lost page means that it may have run: what must not run twice fails") {
  arrive(1, 1);
  const Out o = written();
  answer(o, AnswerWord::served, 2, 0, "a\tb\tc\n");
  answer(o, AnswerWord::crashed);
  pass(1s);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  CHECK(out.size() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "at the deadline the attempt is stopped, the client answered, a late answer dropped") {
  arrive(1, 1, 1s);
  const Out o = written();
  pass(1s);
  CHECK(count("stop " + o.id) == 1);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  answer(o, AnswerWord::served, 1, 0, "late");
  CHECK(to(1).size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "a client that leaves is owed nothing, and what is out for it is stopped") {
  arrive(1);
  const Out first = written();
  hear(manager::GaveUp{manager::SessionId{1}, 1});
  arrive(2);
  const Out second = written();
  hear(manager::SessionEnded{manager::SessionId{1}, "broken off here"});
  pass(5s);
  CHECK(count("stop " + first.id) == 1);
  CHECK(count("stop " + second.id) == 1);
  CHECK(to(1).size() + to(2).size() == 0);
  // Who ended it is told, so that a lost answer can be traced.
  CHECK(std::count(notes.begin(), notes.end(),
                   "a client connection ended with 1 requests open: broken off here") == 1);
}

TEST_CASE_FIXTURE(Fixture, "a request still queued when its engine drains is taken back, not written late") {
  arrive(1);
  list(R"({"uid":"e1","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"draining"})");
  CHECK(out.empty());
  pass(5s);
  CHECK(to(1).size() == 1);
}

TEST_CASE_FIXTURE(Fixture,
                  "after a reset what must not run twice fails; after a refused connection it may go again") {
  arrive(1, 1);
  hear(manager::LinkEnded{only().link, "refused"});
  pass(1s);
  CHECK(count("req 0000000000000001") == 2);
  const Out o = written();
  hear(manager::LinkEnded{o.link, "reset"});
  pass(1s);
  CHECK(count("req 0000000000000001") == 2);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
}

TEST_CASE_FIXTURE(Fixture, "told to leave, it still serves for a while and ends when nothing is owed") {
  arrive(1);
  const Out o = written();
  hear(manager::Leave{});
  hear(manager::ProbeAsked{manager::SessionId{1}, 9});
  CHECK(to(9)[0].kind == "leaving");
  pass(800ms);
  CHECK_FALSE(core.left(now));
  answer(o, AnswerWord::served, 1, 0, "a\tb\tc\n");
  CHECK_FALSE(core.left(now));  // its client may still ask on this connection
  arrive(2);
  CHECK(to(2)[0].kind == "refused");
  pass(200ms);
  CHECK(count("close 1") == 1);
  hear(manager::SessionEnded{manager::SessionId{1}});
  pass(1500ms);
  CHECK(core.left(now));
}

TEST_CASE_FIXTURE(Fixture,
                  "a client that asks for nothing is closed, one with something open or on its way is not") {
  const auto session = [](int n) { return manager::SessionId(n); };
  arrive(1);
  for (const int n : {2, 3}) hear(manager::SessionBegan{session(n)});
  busy.insert(session(3));
  pass(2500ms);
  CHECK(count("close 1") + count("close 3") == 0);
  CHECK(count("close 2") == 1);
  busy.clear();
  hear(manager::ProbeAsked{session(3), 1});
  pass(5s);
  CHECK(count("close 3") == 0);
  pass(2s);
  CHECK(count("close 3") == 1);
}

TEST_CASE("when connections run short, who was never answered goes first, and who has something open stays") {
  manager::Sessions sessions({4, 32, 8, 2s, 6s, 1s, 3});
  const auto id = [](int n) { return manager::SessionId(n); };
  const Time at{1000s};
  for (int n = 1; n <= 3; ++n) CHECK_FALSE(sessions.begin(at + n * 1ms, id(n)).has_value());
  sessions.opened(at, id(1));
  sessions.served(at, id(2));
  CHECK((sessions.begin(at, id(4)) == id(3)));
  sessions.end(id(3));
  CHECK((sessions.begin(at, id(5)) == id(4)));
  CHECK((sessions.begin(at, id(6)) == id(5)));
  sessions.keep(id(4));  // something had come from it
  CHECK((sessions.begin(at, id(7)) == id(4)));
}

TEST_CASE("a client that is answered often and never served floods, and without new ones the idle still go") {
  manager::Sessions sessions({4, 32, 8, 2s, 6s, 1s, 3});
  const auto id = [](int n) { return manager::SessionId(n); };
  const Time at{1000s};
  for (int n = 1; n <= 3; ++n) sessions.begin(at, id(n));
  sessions.served(at, id(1));
  for (int n = 0; n < 5; ++n) CHECK_FALSE(sessions.answered(at, id(1)));
  CHECK_FALSE(sessions.answered(at, id(2)));
  CHECK_FALSE(sessions.answered(at, id(2)));
  sessions.opened(at, id(2));
  CHECK_FALSE(sessions.answered(at, id(2)));  // what is open is owed its answer first
  sessions.closed(at, id(2));
  CHECK(sessions.answered(at, id(2)));
  sessions.opened(at, id(3));
  CHECK((sessions.overdue(at, false) == std::vector{id(2)}));
}

TEST_CASE_FIXTURE(Fixture,
                  "a flooding client is not closed while something of it is on the way, then it is") {
  busy.insert(manager::SessionId(1));  // its next request is read, or waits in the inbox
  for (manager::CallId call = 1; call <= 70; ++call) arrive(call, 0, 0s);  // each late: failed at once
  CHECK(count("close 1") == 0);
  busy.clear();
  arrive(71, 0, 0s);
  for (manager::CallId call = 1; call <= 71; ++call) CHECK(to(call).size() == 1);
  CHECK(count("close 1") == 1);
}

TEST_CASE_FIXTURE(
    Fixture, "a client whose first request no engine can use is failed at once, without a second attempt") {
  arrive(1);
  answer(written(), AnswerWord::crashed);
  REQUIRE(to(1).size() == 1);
  CHECK(to(1)[0].kind == "failed");
  arrive(2);
  CHECK(to(2)[0].kind == "failed");
  pass(1s);
  arrive(3);
  answer(written(), AnswerWord::served, 1, 0, "a\tb\tc\n");
  CHECK(to(3)[0].kind == "served");
  arrive(4);
  answer(written(), AnswerWord::crashed);
  pass(1s);
  CHECK(count("req 0000000000000001") == 1);
  CHECK(count("req 0000000000000004") == 2);
}

TEST_CASE_FIXTURE(Fixture, "an id in use is not taken again, whoever sends it") {
  arrive(1);
  arrive(1, 0, 4s, 1);
  CHECK(count("close 1") == 1);
  hear(manager::SessionBegan{manager::SessionId{2}});
  arrive(1, 0, 4s, 2);
  CHECK(to(1, 2)[0].kind == "failed");
}

TEST_CASE_FIXTURE(
    Fixture, "rows that are no rows are never passed on: the connection goes, and the request goes again") {
  for (const std::string rows : {"a\tb\n", "a\tb\tc", "a\tb\tc\n\n", "a\t\x01\tc\n"}) {
    Fixture f;
    f.arrive(1);
    const Out o = f.written();
    f.answer(o, AnswerWord::served, 1, 0, rows);
    CHECK(f.links.count(o.link) == 0);
    f.pass(100ms);
    CHECK(f.to(1).empty());
    CHECK(f.count("req 0000000000000001") == 2);
  }
}

TEST_CASE_FIXTURE(
    Fixture,
    "each attempt has a connection of its own, and a connection that is silent is asked, then closed") {
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

TEST_CASE_FIXTURE(
    Fixture, "told to leave, whatever is open has its answer before the end, and may be asked elsewhere") {
  hear(manager::Leave{});
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
  hear(manager::SessionEnded{manager::SessionId{1}});
  pass(1500ms);
  CHECK(core.left(now));
}

// Random steps against a model: one answer for each request not given up, and never two attempts of one at
// once.
TEST_CASE("whatever happens, each request gets one answer and never has two attempts out") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    Steps steps(seed);
    Fixture f;
    std::set<manager::CallId> given_up;
    std::map<std::string, int> attempts;  // out, by request
    manager::CallId calls = 0;
    std::size_t seen = 0;
    for (int i = 0; i < 300; ++i) {
      const auto step = steps.below(12);
      if (step < 3) f.arrive(++calls, static_cast<std::uint32_t>(steps.below(2)));
      if (step == 3) f.pass(Duration(steps.below(1500) * 1ms));
      if (step == 4 && calls > 0) {
        const auto call = 1 + steps.below(calls);
        if (f.to(call).empty()) given_up.insert(call);
        f.hear(manager::GaveUp{manager::SessionId{1}, call});
      }
      if (step > 4 && !f.out.empty()) {
        auto it = f.out.begin();
        std::advance(it, steps.below(f.out.size()));
        const Core::Out o = it->second;
        if (step == 5) {
          f.hear(manager::LinkUp{o.link});
          it->second.state = Core::Sent::written;
        } else if (step == 6 && f.links.erase(o.link) > 0) {
          for (const auto& [tag, other] : f.out) {
            if (other.link == o.link) attempts[other.id] = 0;
          }
          f.hear(manager::LinkEnded{o.link, "reset"});
        } else if (o.state == Core::Sent::written) {
          f.out.erase(it);
          attempts[o.id] = 0;
          f.answer(o, step < 9 ? AnswerWord::served : step == 9 ? AnswerWord::overload : AnswerWord::crashed);
        }
      }
      for (; seen < f.said.size(); ++seen) {
        if (f.said[seen].rfind("given up ", 0) == 0) attempts[f.said[seen].substr(9)] = 0;
        if (f.said[seen].rfind("req ", 0) == 0) CHECK(++attempts[f.said[seen].substr(4)] == 1);
      }
    }
    f.pass(10s);
    for (manager::CallId call = 1; call <= calls; ++call) {
      if (!given_up.count(call)) CHECK(f.to(call).size() == 1);
    }
    CHECK(f.core.open_requests() == 0);
    CHECK(f.budget.used() == 0);
  }
}

// Clients, connections and engines come and go at random, an engine at the address of one that has gone among
// them. A session's answers are owed from its request to its end.
TEST_CASE("through any churn each request taken has one answer by its deadline, unless its client has left") {
  for (std::uint32_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Steps steps(seed);
    Fixture f;
    struct Owed {
      int session = 0;
      Time deadline{};
      bool left = false;
    };
    std::map<manager::CallId, Owed> owed;
    int sessions = 1, engines = 2;
    std::set<int> there = {1};
    const auto any = [&](const auto& of) {
      auto it = of.begin();
      std::advance(it, steps.below(of.size()));
      return it;
    };
    const auto leave = [&](int session) {
      for (auto& [call, o] : owed) o.left |= o.session == session;
      f.hear(manager::SessionEnded{manager::SessionId(session)});
    };
    for (int i = 0; i < 400; ++i) {
      const auto step = steps.below(16);
      if (step == 0) f.hear(manager::SessionBegan{manager::SessionId(*there.insert(++sessions).first)});
      if (step == 1 && there.size() > 1) {
        const auto it = any(there);
        leave(*it);
        there.erase(it);
      }
      if (step >= 2 && step < 7) {
        const auto call = static_cast<manager::CallId>(owed.size() + 1);
        const Duration left = (50 + steps.below(3900)) * 1ms;
        owed[call] = {*any(there), f.now + left, false};
        f.arrive(call, static_cast<std::uint32_t>(steps.below(2)), left, owed[call].session);
      }
      if (step == 7) f.pass(steps.below(900) * 1ms);
      if (step == 8) {  // one goes, and another comes to its address or to that of none
        const auto member = [](int n, const char* port, const char* state) {
          return R"({"uid":"e)" + std::to_string(n) + R"(","endpoint":"127.0.0.1:)" + port +
                 R"(","az":"z","model":"m","state":")" + state + R"(","boot_ms":)" + std::to_string(n) + "}";
        };
        const char* port = steps.below(2) ? "7001" : "7002";
        f.list(member(engines, port, steps.below(2) ? "removed" : "draining") + "," +
               member(engines + 1, port, "up"));
        ++engines;
      }
      if (step > 8 && !f.links.empty()) {
        const auto link = *any(f.links);
        if (step < 11) {
          f.hear(manager::LinkUp{link});
          for (auto& [tag, o] : f.out) {
            if (o.link == link) o.state = Core::Sent::written;
          }
        } else if (step == 11) {
          f.links.erase(link);
          f.hear(manager::LinkEnded{link, "reset"});
        } else if (step == 12) {
          f.confirm(link, "alive");
        }
      }
      if (step > 12 && !f.out.empty()) {
        const auto it = any(f.out);
        const Core::Out o = it->second;
        if (o.state != Core::Sent::written) continue;
        const auto pages = static_cast<std::uint32_t>(1 + steps.below(2));
        if (pages == 1) f.out.erase(it);
        f.answer(o, step < 15 ? AnswerWord::served : AnswerWord::crashed, pages, 0, "a\tb\tc\n");
      }
    }
    f.pass(5s);
    for (const auto& [call, o] : owed) {
      CAPTURE(call);
      const auto& to = f.to(call, o.session);
      if (!o.left) REQUIRE(to.size() == 1);
      CHECK(to.size() <= 1);
      for (const auto& reply : to) CHECK((reply.at <= o.deadline));
    }
    CHECK(f.core.open_requests() == 0);
  }
}

}  // namespace
}  // namespace yokestream::test
