// Learned state that another controller restores, and changes of the number of managers.
#include <cmath>

#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

// Serves queries of which those on engine b take four times their estimate, and those on a as long as
// estimated.
void train(ManagerHarness& manager, int pairs = 200) {
  for (std::uint64_t id = 1; id <= 2u * pairs; id += 2) {
    const auto first = manager.arrive(id), second = manager.arrive(id + 1);
    manager.advance(200ms);
    for (const auto query : {first, second})
      manager.end_attempt(query, Outcome::served, manager.sends[query].front() == "b" ? 400ms : 100ms);
  }
}

struct LearnedStateTest : ::testing::Test {
  Settings settings = make_settings({make_class(), make_class(2s)});
  ManagerHarness trained{settings};
  AdmissionController fresh{settings, 8, trained.now};
  LearnedStateTest() { train(trained); }
};

TEST_F(LearnedStateTest, IsUnchangedByASaveAndARestore) {
  const LearnedState known = trained.controller().learned_state();
  ASSERT_EQ(known.engines.size(), 2u);
  EXPECT_NE(known.engines[1].learned.interference, known.engines[0].learned.interference);
  ASSERT_TRUE(fresh.restore(known, 0s));
  std::vector<Action> out;
  fresh.handle(trained.now, EngineList{EngineListKind::cached, {make_engine("a"), make_engine("b")}}, out);
  EXPECT_EQ(fresh.learned_state(), known);
}

TEST_F(LearnedStateTest, MakesANewManagerAvoidASlowEngineFromTheFirstQuery) {
  ManagerHarness cold(settings),
      warm(settings, {make_engine("a"), make_engine("b")}, 7, trained.controller().learned_state());
  const auto on_b = [](ManagerHarness& manager) {
    int count = 0;
    for (std::uint64_t id = 1; id <= 4; ++id) count += manager.sends[manager.arrive(id)].front() == "b";
    return count;
  };
  EXPECT_EQ(on_b(cold), 2);
  EXPECT_LE(on_b(warm), 1);
}

TEST_F(LearnedStateTest, UsesTheEstimatesOfTheKindForARestartedEngine) {
  LearnedState known = trained.controller().learned_state();
  auto restarted = make_engine("b");
  restarted.start_time = trained.now;
  ASSERT_TRUE(fresh.restore(known, 0s));
  std::vector<Action> out;
  fresh.handle(trained.now, EngineList{EngineListKind::cached, {make_engine("a"), restarted}}, out);
  EXPECT_EQ(fresh.learned_state().engines[1].learned.interference, known.kinds[0]);
  EXPECT_EQ(fresh.learned_state().engines[0].learned, known.engines[0].learned);
}

TEST_F(LearnedStateTest, KeepsAFailingEngineEjectedForALimitedTime) {
  LearnedState known = trained.controller().learned_state();
  known.engines[1].learned.ejected = true, known.engines[1].learned.failure_ratio = 0.9;
  const auto unavailable_after = [&](Duration age) {
    AdmissionController controller(settings, 8, trained.now);
    EXPECT_TRUE(controller.restore(known, age));
    std::vector<Action> out;
    controller.handle(trained.now, EngineList{EngineListKind::cached, {make_engine("a"), make_engine("b")}},
                      out);
    return controller.unavailable_engines();
  };
  EXPECT_EQ(unavailable_after(1s), 1u);
  EXPECT_EQ(unavailable_after(7s), 0u);
}

TEST_F(LearnedStateTest, IsRejectedWithoutAnyChangeIfInvalid) {
  const LearnedState known = trained.controller().learned_state();
  const LearnedState before = fresh.learned_state();
  const auto expect_rejected = [&](auto invalidate) {
    LearnedState invalid = known;
    invalidate(invalid);
    EXPECT_FALSE(fresh.restore(invalid, 0s));
    EXPECT_EQ(fresh.learned_state(), before);
  };
  expect_rejected([](LearnedState& state) { state.classes.pop_back(); });
  expect_rejected([](LearnedState& state) { state.kinds.clear(); });
  expect_rejected([](LearnedState& state) { state.kinds[0][1].pop_back(); });
  expect_rejected([](LearnedState& state) { state.classes[0].bias = 0; });
  expect_rejected([](LearnedState& state) { state.classes[1].mean_log_slowdown = std::nan(""); });
  expect_rejected([](LearnedState& state) { state.pool.observed_all_queries = 0; });
  expect_rejected([](LearnedState& state) { state.engines[0].learned.interference[0][0] = -1; });
  expect_rejected([](LearnedState& state) { state.engines[1].learned.mean_error = {1}; });
  EXPECT_TRUE(fresh.restore(known, 0s));
  std::vector<Action> out;
  fresh.handle(trained.now, TimerFired{}, out);
  EXPECT_FALSE(fresh.restore(known, 0s));  // events were handled already
}

// Number of queries that one of four managers, running as `processes` processes, sends to an engine in its
// first two seconds (cold_overload_window), in which too much work overloads it. Sum over 20 seeds.
int sends_to_cold_engine(std::size_t processes) {
  Settings settings = make_settings();
  settings.manager_count = 4, settings.slow_start_window = 10s, settings.slow_start_initial_ratio = 0.3,
  settings.cold_overload_multiple = 3, settings.cold_overload_window = 2s;
  auto cold = make_engine("a");
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t p = 0; p < processes; ++p) {
      ManagerHarness manager(settings, {}, 100 * seed + p);
      manager.controller().set_manager_count(4.0 * static_cast<double>(processes));
      cold.start_time = manager.now;
      manager.update_engine_list({cold}, EngineListKind::full);
      std::size_t ended = 0;
      for (std::uint64_t id = 1; id <= 100; ++id) {
        manager.arrive(id, 3s, 100ms);
        manager.advance(20ms);
        for (; ended < manager.send_order.size(); ++ended)
          manager.end_attempt(manager.send_order[ended], Outcome::served, 20ms);
      }
      sent += static_cast<int>(ended);
    }
  }
  return sent;
}

TEST(ManagerCount, TwoProcessesSendAColdEngineAboutAsMuchAsOne) {
  const int one = sends_to_cold_engine(1), two = sends_to_cold_engine(2);
  EXPECT_GT(one, 20);
  EXPECT_GT(two, one / 2);
  EXPECT_LE(two, one + one / 5);
}

}  // namespace
}  // namespace yokestream::policy::testing
