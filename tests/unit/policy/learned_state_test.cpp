// Learned state that another controller takes over, and managers that come and go.
#include <cmath>

#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

// An engine b that takes four times what is told, and one, a, that takes what is told.
void teach(ManagerHarness& manager, int pairs = 200) {
  for (std::uint64_t id = 1; id <= 2u * pairs; id += 2) {
    const auto p = manager.arrive(id), q = manager.arrive(id + 1);
    manager.advance(200ms);
    for (const auto x : {p, q})
      manager.end_attempt(x, Outcome::served, manager.sends[x].front() == "b" ? 400ms : 100ms);
  }
}

struct LearnedStateTest : ::testing::Test {
  Settings settings = make_settings({make_class(), make_class(2s)});
  ManagerHarness old{settings};
  AdmissionController young{settings, 8, old.now};
  LearnedStateTest() { teach(old); }
};

TEST_F(LearnedStateTest, IsTheSameOnceItIsRestored) {
  const LearnedState known = old.controller().learned_state();
  ASSERT_EQ(known.engines.size(), 2u);
  EXPECT_NE(known.engines[1].learned.interference, known.engines[0].learned.interference);
  ASSERT_TRUE(young.restore(known, 0s));
  std::vector<Action> out;
  young.handle(old.now, EngineList{EngineListKind::cached, {make_engine("a"), make_engine("b")}}, out);
  EXPECT_EQ(young.learned_state(), known);
}

TEST_F(LearnedStateTest, AvoidsTheSlowEngineFromTheFirstQueryOn) {
  ManagerHarness cold(settings),
      warm(settings, {make_engine("a"), make_engine("b")}, 7, old.controller().learned_state());
  const auto on_b = [](ManagerHarness& manager) {
    int count = 0;
    for (std::uint64_t id = 1; id <= 4; ++id) count += manager.sends[manager.arrive(id)].front() == "b";
    return count;
  };
  EXPECT_EQ(on_b(cold), 2);
  EXPECT_LE(on_b(warm), 1);
}

TEST_F(LearnedStateTest, TreatsAnEngineThatWasStartedSinceAsItsKind) {
  LearnedState known = old.controller().learned_state();
  auto again = make_engine("b");
  again.start_time = old.now;
  ASSERT_TRUE(young.restore(known, 0s));
  std::vector<Action> out;
  young.handle(old.now, EngineList{EngineListKind::cached, {make_engine("a"), again}}, out);
  EXPECT_EQ(young.learned_state().engines[1].learned.interference, known.kinds[0]);
  EXPECT_EQ(young.learned_state().engines[0].learned, known.engines[0].learned);
}

TEST_F(LearnedStateTest, AvoidsAFailingEngineForAWhile) {
  LearnedState known = old.controller().learned_state();
  known.engines[1].learned.ejected = true, known.engines[1].learned.failure_ratio = 0.9;
  const auto avoided = [&](Duration age) {
    AdmissionController one(settings, 8, old.now);
    EXPECT_TRUE(one.restore(known, age));
    std::vector<Action> out;
    one.handle(old.now, EngineList{EngineListKind::cached, {make_engine("a"), make_engine("b")}}, out);
    return one.unavailable_engines();
  };
  EXPECT_EQ(avoided(1s), 1u);
  EXPECT_EQ(avoided(7s), 0u);
}

TEST_F(LearnedStateTest, ChangesNothingIfItDoesNotFit) {
  const LearnedState known = old.controller().learned_state();
  const LearnedState own = young.learned_state();
  const auto refused = [&](auto spoil) {
    LearnedState bad = known;
    spoil(bad);
    EXPECT_FALSE(young.restore(bad, 0s));
    EXPECT_EQ(young.learned_state(), own);
  };
  refused([](LearnedState& l) { l.classes.pop_back(); });
  refused([](LearnedState& l) { l.kinds.clear(); });
  refused([](LearnedState& l) { l.kinds[0][1].pop_back(); });
  refused([](LearnedState& l) { l.classes[0].bias = 0; });
  refused([](LearnedState& l) { l.classes[1].mean_log_slowdown = std::nan(""); });
  refused([](LearnedState& l) { l.pool.observed_all_queries = 0; });
  refused([](LearnedState& l) { l.engines[0].learned.interference[0][0] = -1; });
  refused([](LearnedState& l) { l.engines[1].learned.mean_error = {1}; });
  EXPECT_TRUE(young.restore(known, 0s));
  std::vector<Action> out;
  young.handle(old.now, TimerFired{}, out);
  EXPECT_FALSE(young.restore(known, 0s));  // events have come
}

// Sends to an engine just started within the time that may topple it.
int sends_to_cold(std::size_t processes) {
  Settings s = make_settings();
  s.manager_count = 4, s.slow_start_window = 10s, s.slow_start_initial_ratio = 0.3,
  s.cold_overload_multiple = 3, s.cold_overload_window = 2s;
  auto fresh = make_engine("a");
  int sent = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (std::size_t p = 0; p < processes; ++p) {
      ManagerHarness manager(s, {}, 100 * seed + p);
      manager.controller().set_manager_count(4.0 * static_cast<double>(processes));
      fresh.start_time = manager.now;
      manager.update_engine_list({fresh}, EngineListKind::full);
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

TEST(ManagerCount, TwoProcessesSendAColdEngineNoMoreThanOne) {
  const int one = sends_to_cold(1), two = sends_to_cold(2);
  EXPECT_GT(one, 20);
  EXPECT_GT(two, one / 2);
  EXPECT_LE(two, one + one / 5);
}

}  // namespace
}  // namespace yokestream::policy::testing
