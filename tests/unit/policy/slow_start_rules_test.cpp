// The rules for sends to engines in slow start.
#include <memory>

#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

Settings cold_settings() {
  auto s = make_settings({make_class(2s, 10s)});
  s.kinds = {{4, 0}};
  s.slow_start_initial_ratio = 0.25;
  s.slow_start_window = 10s;
  s.cold_overload_multiple = 2;
  s.cold_overload_window = 1s;
  return s;
}

TEST(SlowStartRule, KeepsWorkToAColdEngineUnderItsBudget) {
  const auto s = cold_settings();
  auto a = make_engine("a");
  ManagerHarness manager(s, {});
  a.start_time = manager.now;
  manager.update_engine_list({a});
  for (std::uint64_t id = 1; id <= 200; ++id) {  // one second of short queries, each answered at once
    manager.arrive(id, 10s, 100ms);
    while (!manager.send_order.empty()) {
      const auto q = manager.send_order.back();
      manager.send_order.pop_back();
      if (!manager.final_answers[q]) manager.end_attempt(q, Outcome::served, 100ms);
    }
    manager.advance(5ms);
  }
  const double sent = 0.1 * static_cast<double>(manager.sends.size());
  EXPECT_GT(sent, 0.2);
  EXPECT_LE(sent, 2 * 0.25 * 4 * 0.85 * 1.1);
}

TEST(SlowStartRule, LetsManyManagersFillAColdEngineWithoutOverload) {
  auto s = cold_settings();
  s.manager_count = 200;
  s.kinds = {{16, 0}};
  auto a = make_engine("a");
  std::vector<std::unique_ptr<ManagerHarness>> managers;
  for (std::uint64_t i = 0; i < s.manager_count; ++i) {
    managers.push_back(std::make_unique<ManagerHarness>(s, std::vector<EngineEntry>{}, i + 1));
    a.start_time = managers[i]->now;
    managers[i]->update_engine_list({a});
  }
  std::vector<std::size_t> by_tick;  // sends of all managers together
  for (std::uint64_t tick = 0; tick < 100; ++tick) {
    std::size_t sends = 0;
    for (auto& manager : managers) {
      const auto before = manager->send_order.size();
      if (tick % 20 == 0) manager->arrive(tick + 1, 10s, 100ms);
      manager->advance(20ms);
      for (std::size_t k = before; k < manager->send_order.size(); ++k)
        manager->end_attempt(manager->send_order[k], Outcome::served), ++sends;
    }
    by_tick.push_back(sends);
  }
  std::size_t all = 0, window = 0, most = 0;
  for (std::size_t i = 0; i < by_tick.size(); ++i) {
    all += by_tick[i];
    window += by_tick[i];
    if (i >= 50) window -= by_tick[i - 50];
    most = std::max(most, window);
  }
  // The number of 0.1 s queries within a second that overloads the engine.
  const double limit = 2 * 0.25 * 16 * 0.85 / 0.1;
  EXPECT_LT(static_cast<double>(most), limit);
  EXPECT_GT(static_cast<double>(all), limit / 2);  // over two seconds, about half of its capacity
}

// Guards against counting the elapsed time of queries on busy engines as their work: the budget of a new
// engine would then seem used up after a few queries, and the engine would stay nearly empty.
TEST(SlowStartRule, ChargesReportedWorkAndNotElapsedTime) {
  auto s = cold_settings();
  s.classes[0].latency_objective = s.classes[0].deadline = 60s;
  s.manager_count = 5;
  s.kinds = {{16, 0}};
  s.reports_cost = true;
  const auto sent_after = [&](Duration elapsed) {
    ManagerHarness manager(s, {make_engine("a")});
    std::uint64_t id = 1;
    for (; id <= 60; ++id) {
      const auto q = manager.arrive(id, 60s, 100ms);
      manager.advance(elapsed);
      if (manager.attempt_count(q) > 0)
        manager.feed(AttemptEnded{q, AttemptNumber{0}, {"a"}, Outcome::served, elapsed, true, {}, 100ms, 64});
    }
    auto cold = make_engine("b");
    cold.start_time = manager.now;
    manager.update_engine_list({make_engine("a", EngineState::draining), cold});
    manager.send_order.clear();
    std::size_t sent = 0;
    for (int i = 0; i < 200; ++i) {
      manager.arrive(id++, 60s, 100ms);
      manager.advance(50ms);
      while (!manager.send_order.empty()) {
        const auto q = manager.send_order.back();
        manager.send_order.pop_back();
        manager.feed(AttemptEnded{q, AttemptNumber{0}, {"b"}, Outcome::served, elapsed, true, {}, 100ms, 64});
        ++sent;
      }
    }
    return sent;
  };
  const auto sent_when_fast = sent_after(100ms);
  EXPECT_GE(sent_when_fast, 4u);
  EXPECT_GE(sent_after(1s) + 1, sent_when_fast);
}

TEST(SlowStartRule, TreatsARestartUnderTheSameNameAsCold) {
  const auto s = cold_settings();
  ManagerHarness manager(s, {make_engine("a")});
  auto restarted = make_engine("a");
  restarted.start_time = manager.now;
  manager.update_engine_list({restarted});
  std::size_t sent = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    const auto q = manager.arrive(id, 10s, 100ms);
    if (manager.attempt_count(q)) ++sent, manager.end_attempt(q, Outcome::served, 100ms);
  }
  EXPECT_LE(sent, 18u);
}

}  // namespace
}  // namespace yokestream::policy::testing
