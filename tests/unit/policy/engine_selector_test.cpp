// The choice of the engine for a query.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(EngineSelector, PrefersAnIdleEngine) {
  ManagerHarness manager(make_settings(), {make_engine("a"), make_engine("b"), make_engine("c")});
  std::set<std::string> used;
  for (std::uint64_t id = 1; id <= 3; ++id) used.insert(manager.sends[manager.arrive(id)].front());
  EXPECT_EQ(used.size(), 3u);
}

TEST(EngineSelector, AvoidsAnEngineLearnedToBeSlow) {
  ManagerHarness manager(make_settings());
  for (std::uint64_t id = 1; id <= 400; id += 2) {
    const auto p = manager.arrive(id), q = manager.arrive(id + 1);
    manager.advance(200ms);
    for (const auto x : {p, q})
      manager.end_attempt(x, Outcome::served, manager.sends[x].front() == "a" ? 800ms : 100ms);
  }
  const auto first = manager.arrive(1001), second = manager.arrive(1002);  // one on each engine
  int on_b = 0;
  for (std::uint64_t id = 1003; id <= 1004; ++id) on_b += manager.sends[manager.arrive(id)].front() == "b";
  EXPECT_NE(manager.sends[first].front(), manager.sends[second].front());
  EXPECT_EQ(on_b, 2);
}

TEST(EngineSelector, SpreadsManagersOverKindsByCapacity) {
  auto s = make_settings();
  s.kinds = {{16, 0}, {12, 0}};
  s.manager_count = 200;
  auto small = make_engine("b");
  small.kind = KindId{1};
  int on_small = 0;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    ManagerHarness manager(s, {make_engine("a"), small}, seed);
    on_small += manager.sends[manager.arrive(1)].front() == "b";
  }
  EXPECT_GT(on_small, 55);  // 12 of 28 cores: 86 expected
  EXPECT_LT(on_small, 117);
}

}  // namespace
}  // namespace yokestream::policy::testing
