// Drives an AdmissionController with events and a manual clock, and records the actions that it emits.
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

inline ClassSettings make_class(Duration latency_objective = 1s, Duration deadline = 5s) {
  ClassSettings query_class;
  query_class.name = "class";
  query_class.latency_objective = latency_objective;
  query_class.deadline = deadline;
  query_class.deduplication_window = 3s;
  return query_class;
}

inline Settings make_settings(std::vector<ClassSettings> classes = {make_class()}) {
  Settings settings;
  settings.classes = std::move(classes);
  settings.kinds = {{4, 0}};
  settings.max_attempts = 3;
  settings.answer_slack = 20ms;
  settings.drain_grace = 1s;
  settings.engine_list_request_deadline = 10s;
  return settings;
}

inline EngineEntry make_engine(const std::string& name, EngineState state = EngineState::up) {
  EngineEntry entry;
  entry.engine = {name};
  entry.state = state;
  return entry;
}

class ManagerHarness {
 public:
  explicit ManagerHarness(const Settings& settings,
                          std::vector<EngineEntry> engines = {make_engine("a"), make_engine("b")},
                          std::uint64_t seed = 7, const std::optional<LearnedState>& learned = std::nullopt)
      : controller_(settings, seed, now) {
    if (learned) {
      EXPECT_TRUE(controller_.restore(*learned, 0s));
    }
    update_engine_list(std::move(engines), EngineListKind::cached);
  }

  AdmissionController& controller() { return controller_; }
  std::vector<Action> feed(const Event& event) {
    std::vector<Action> actions;
    controller_.handle(now, event, actions);
    for (const Action& action : actions) record(action);
    return actions;
  }
  void update_engine_list(std::vector<EngineEntry> engines, EngineListKind kind = EngineListKind::delta) {
    feed(EngineList{kind, std::move(engines)});
  }
  QueryId arrive(std::uint64_t id, Duration time_left = 5s, Duration work = 100ms,
                 std::uint32_t class_index = 0, std::optional<OrderKey> key = {}) {
    QueryArrived request;
    request.query = QueryId{id};
    request.query_class = ClassId{class_index};
    request.order_key = key;
    request.work = work;
    request.time_left = time_left;
    feed(request);
    return request.query;
  }
  // Ends the last attempt of the query.
  void end_attempt(QueryId query, Outcome outcome, Duration elapsed = 100ms) {
    const auto number = static_cast<std::uint32_t>(sends.at(query).size() - 1);
    AttemptEnded event{query, AttemptNumber{number}, {sends.at(query).back()}, outcome, elapsed, false, {}};
    event.query_finished = outcome == Outcome::served;
    if (event.query_finished) ++final_answers[query];
    feed(event);
  }
  // Advances the clock and fires every timer that is due on the way.
  void advance(Duration duration) {
    const Time until = now + duration;
    while (!timers.empty() && timers.begin()->first <= until) {
      now = std::max(now, timers.begin()->first);
      const auto token = timers.begin()->second;
      timers.erase(timers.begin());
      feed(TimerFired{token});
    }
    now = until;
  }
  std::size_t attempt_count(QueryId query) const { return sends.count(query) ? sends.at(query).size() : 0; }

  Time now{Duration(1'000'000'000)};
  std::map<QueryId, std::vector<std::string>> sends;  // engine of each attempt
  std::vector<QueryId> send_order, cancels;
  std::vector<std::string> probes;
  std::map<QueryId, int> final_answers, rejections, failures;
  std::multimap<Time, std::uint64_t> timers;
  Duration retry_after{};  // of the last Reject
  int engine_list_watches = 0;

 private:
  void record(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
      sends[send->query].push_back(send->engine.name);
      send_order.push_back(send->query);
    }
    if (const auto* reject = std::get_if<Reject>(&action)) {
      ++final_answers[reject->query], ++rejections[reject->query];
      retry_after = reject->retry_after;
    }
    if (const auto* fail = std::get_if<Fail>(&action)) ++final_answers[fail->query], ++failures[fail->query];
    if (const auto* cancel = std::get_if<Cancel>(&action)) cancels.push_back(cancel->query);
    if (const auto* timer = std::get_if<StartTimer>(&action))
      timers.emplace(now + timer->delay, timer->token);
    if (std::holds_alternative<WatchEngineList>(action)) ++engine_list_watches;
    if (const auto* probe = std::get_if<Probe>(&action)) probes.push_back(probe->engine.name);
  }

  AdmissionController controller_;
};

}  // namespace yokestream::policy::testing
