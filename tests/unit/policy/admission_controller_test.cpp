// The public contract: settings, unknown ids, the same events, stalls.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(AdmissionController, NamesTheSettingThatMakesNoSense) {
  auto s = make_settings();
  s.classes[0].deadline = 0s;
  try {
    const AdmissionController controller(s, 1, Time{});
    FAIL() << "accepted";
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("classes[0].deadline"), std::string::npos);
  }
  auto none = make_settings();
  none.classes.clear();
  EXPECT_THROW(AdmissionController(none, 1, Time{}), std::invalid_argument);
  auto bare = make_settings();
  bare.manager_count = 0;
  EXPECT_THROW(AdmissionController(bare, 1, Time{}), std::invalid_argument);
}

TEST(AdmissionController, ThrowsForUnknownClassesAndIgnoresUnknownIds) {
  ManagerHarness manager(make_settings());
  QueryArrived q;
  q.query_class = ClassId{9};
  EXPECT_THROW(manager.feed(q), std::invalid_argument);
  manager.feed(AttemptEnded{QueryId{5}, AttemptNumber{0}, {"x"}, Outcome::served, 1ms, true, {}});
  manager.feed(AttemptProgress{QueryId{5}, AttemptNumber{3}, {"x"}, ProgressKind::spilling, 4});
  manager.feed(ClientDisconnected{QueryId{5}});
  manager.feed(ResponseStarted{QueryId{5}, AttemptNumber{0}, {"x"}});
  EXPECT_TRUE(manager.final_answers.empty());
}

TEST(AdmissionController, GivesTheSameActionsForTheSameEvents) {
  ManagerHarness a(make_settings()), b(make_settings());
  for (std::uint64_t id = 1; id < 60; ++id) {
    const auto q = a.arrive(id);
    b.arrive(id);
    a.advance(30ms);
    b.advance(30ms);
    if (id % 3 && a.attempt_count(q)) a.end_attempt(q, Outcome::served), b.end_attempt(q, Outcome::served);
  }
  EXPECT_EQ(a.sends, b.sends);
  EXPECT_EQ(a.final_answers, b.final_answers);
}

TEST(AdmissionController, SendsNothingAfterAStallBeforeTheBacklogIsRead) {
  auto s = make_settings();
  s.progress_interval = 500ms;
  s.may_cancel = true;
  ManagerHarness manager(s);
  const auto p = manager.arrive(1);
  manager.advance(40ms);
  manager.now += 2s;  // no turn, then all at once
  const auto q = manager.arrive(2);
  EXPECT_EQ(manager.attempt_count(q), 0u);
  manager.update_engine_list({make_engine("a", EngineState::draining)});
  manager.end_attempt(p, Outcome::served, 2s);
  manager.advance(60ms);
  ASSERT_EQ(manager.attempt_count(q), 1u);
  EXPECT_EQ(manager.sends[q].front(), "b");
  EXPECT_TRUE(manager.cancels.empty());
}

}  // namespace
}  // namespace yokestream::policy::testing
