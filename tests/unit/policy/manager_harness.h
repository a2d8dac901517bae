// A manager driven by hand: feeds a controller and keeps what it asked for.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::policy::testing {

using namespace std::chrono_literals;

inline ClassSettings make_class(Duration aim = 1s, Duration deadline = 5s) {
  ClassSettings c;
  c.name = "class";
  c.latency_objective = aim;
  c.deadline = deadline;
  c.deduplication_window = 3s;
  return c;
}

inline Settings make_settings(std::vector<ClassSettings> classes = {make_class()}) {
  Settings s;
  s.classes = std::move(classes);
  s.kinds = {{4, 0}};
  s.max_attempts = 3;
  s.answer_slack = 20ms;
  s.drain_grace = 1s;
  s.engine_list_request_deadline = 10s;
  return s;
}

inline EngineEntry make_engine(const std::string& name, EngineState state = EngineState::up) {
  EngineEntry e;
  e.engine = {name};
  e.state = state;
  return e;
}

class ManagerHarness {
 public:
  explicit ManagerHarness(const Settings& s,
                          std::vector<EngineEntry> engines = {make_engine("a"), make_engine("b")},
                          std::uint64_t seed = 7, const std::optional<LearnedState>& known = std::nullopt)
      : controller_(s, seed, now) {
    if (known) {
      EXPECT_TRUE(controller_.restore(*known, 0s));
    }
    update_engine_list(std::move(engines), EngineListKind::cached);
  }

  AdmissionController& controller() { return controller_; }
  std::vector<Action> feed(const Event& e) {
    std::vector<Action> out;
    controller_.handle(now, e, out);
    for (const Action& a : out) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sends[send->query].push_back(send->engine.name);
        send_order.push_back(send->query);
      }
      if (const auto* refuse = std::get_if<Reject>(&a)) {
        ++final_answers[refuse->query], ++rejections[refuse->query];
        retry_after = refuse->retry_after;
      }
      if (const auto* fail = std::get_if<Fail>(&a)) ++final_answers[fail->query], ++failures[fail->query];
      if (const auto* c = std::get_if<Cancel>(&a)) cancels.push_back(c->query);
      if (const auto* w = std::get_if<StartTimer>(&a)) timers.emplace(now + w->delay, w->token);
      if (std::holds_alternative<WatchEngineList>(a)) ++engine_list_watches;
      if (const auto* p = std::get_if<Probe>(&a)) probes.push_back(p->engine.name);
    }
    return out;
  }
  void update_engine_list(std::vector<EngineEntry> engines, EngineListKind kind = EngineListKind::delta) {
    feed(EngineList{kind, std::move(engines)});
  }
  QueryId arrive(std::uint64_t id, Duration left = 5s, Duration work = 100ms, std::uint32_t cls = 0,
                 std::optional<OrderKey> key = {}) {
    QueryArrived q;
    q.query = QueryId{id};
    q.query_class = ClassId{cls};
    q.order_key = key;
    q.work = work;
    q.time_left = left;
    feed(q);
    return q.query;
  }
  void end_attempt(QueryId q, Outcome o, Duration took = 100ms) {
    const auto n = sends.at(q).size() - 1;
    AttemptEnded e{q, AttemptNumber{static_cast<std::uint32_t>(n)}, {sends.at(q).back()}, o, took, false, {}};
    e.query_finished = o == Outcome::served;
    if (e.query_finished) ++final_answers[q];
    feed(e);
  }
  // Lets time pass, delivering every wake-up on the way.
  void advance(Duration d) {
    const Time until = now + d;
    while (!timers.empty() && timers.begin()->first <= until) {
      now = std::max(now, timers.begin()->first);
      const auto token = timers.begin()->second;
      timers.erase(timers.begin());
      feed(TimerFired{token});
    }
    now = until;
  }
  std::size_t attempt_count(QueryId q) const { return sends.count(q) ? sends.at(q).size() : 0; }

  Time now{Duration(1'000'000'000)};
  std::map<QueryId, std::vector<std::string>> sends;
  std::vector<QueryId> send_order, cancels;
  std::vector<std::string> probes;
  std::map<QueryId, int> final_answers, rejections, failures;
  std::multimap<Time, std::uint64_t> timers;
  Duration retry_after{};
  int engine_list_watches = 0;

 private:
  AdmissionController controller_;
};

}  // namespace yokestream::policy::testing
