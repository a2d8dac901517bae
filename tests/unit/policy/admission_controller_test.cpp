// The public interface: invalid settings, unknown ids, determinism, stalls of the caller.
#include "manager_harness.h"

namespace yokestream::policy::testing {
namespace {

TEST(AdmissionController, ReportsTheNameOfAnInvalidSetting) {
  auto no_deadline = make_settings();
  no_deadline.classes[0].deadline = 0s;
  try {
    const AdmissionController controller(no_deadline, 1, Time{});
    FAIL() << "accepted a class without a deadline";
  } catch (const std::invalid_argument& e) {
    EXPECT_NE(std::string(e.what()).find("classes[0].deadline"), std::string::npos);
  }
  auto no_classes = make_settings();
  no_classes.classes.clear();
  EXPECT_THROW(AdmissionController(no_classes, 1, Time{}), std::invalid_argument);
  auto no_managers = make_settings();
  no_managers.manager_count = 0;
  EXPECT_THROW(AdmissionController(no_managers, 1, Time{}), std::invalid_argument);
}

TEST(AdmissionController, ThrowsForAnUnknownClassAndIgnoresUnknownIds) {
  ManagerHarness manager(make_settings());
  QueryArrived unknown_class;
  unknown_class.query_class = ClassId{9};
  EXPECT_THROW(manager.feed(unknown_class), std::invalid_argument);
  manager.feed(AttemptEnded{QueryId{5}, AttemptNumber{0}, {"x"}, Outcome::served, 1ms, true, {}});
  manager.feed(AttemptProgress{QueryId{5}, AttemptNumber{3}, {"x"}, ProgressKind::spilling, 4});
  manager.feed(ClientDisconnected{QueryId{5}});
  manager.feed(ResponseStarted{QueryId{5}, AttemptNumber{0}, {"x"}});
  EXPECT_TRUE(manager.final_answers.empty());
}

TEST(AdmissionController, EmitsTheSameActionsForTheSameEvents) {
  ManagerHarness first(make_settings()), second(make_settings());
  for (std::uint64_t id = 1; id < 60; ++id) {
    const auto query = first.arrive(id);
    second.arrive(id);
    first.advance(30ms);
    second.advance(30ms);
    if (id % 3 && first.attempt_count(query))
      first.end_attempt(query, Outcome::served), second.end_attempt(query, Outcome::served);
  }
  EXPECT_EQ(first.sends, second.sends);
  EXPECT_EQ(first.final_answers, second.final_answers);
}

// After the caller's process was stalled, its view of the engines is outdated until the buffered events are
// handled. A query sent before that could go to an engine that has been drained, and a response that is only
// buffered could be taken for lost.
TEST(AdmissionController, SendsNothingAfterAStallUntilTheBacklogIsHandled) {
  auto settings = make_settings();
  settings.progress_interval = 500ms;
  settings.may_cancel = true;
  ManagerHarness manager(settings);
  const auto running = manager.arrive(1);
  manager.advance(40ms);
  manager.now += 2s;  // the stall: no event is handled for 2 s
  const auto waiting = manager.arrive(2);
  EXPECT_EQ(manager.attempt_count(waiting), 0u);
  manager.update_engine_list({make_engine("a", EngineState::draining)});
  manager.end_attempt(running, Outcome::served, 2s);
  manager.advance(60ms);
  ASSERT_EQ(manager.attempt_count(waiting), 1u);
  EXPECT_EQ(manager.sends[waiting].front(), "b");
  EXPECT_TRUE(manager.cancels.empty());
}

}  // namespace
}  // namespace yokestream::policy::testing
