// Steps of a migration at the leader: order, acknowledgements, gates and rollbacks.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE("a chain of areas moves stage by stage, each after its prerequisite has moved completely") {
  Leader leader(make_plan(3, 0s));
  leader.propose();
  std::vector<std::vector<std::size_t>> seen;
  for (int i = 0; i < 40 && leader.outcome().empty(); ++i)
    if (leader.inspect()) seen.push_back(leader.steps());
  CHECK(leader.outcome() == "done");
  for (const auto& steps : seen)
    for (std::size_t i = 1; i < steps.size(); ++i) CHECK((steps[i] == 0 || steps[i - 1] == 4));
  CHECK(leader.task.record().homes.at(TableGroupId{3}).name == "new");
  leader.propose();  // from an origin that no longer serves the areas
  leader.inspect();
  CHECK(leader.outcome() == "turned down: area 1 is at home at new");
}

// Failure: a member stops acknowledging, then its session ends while its attempts may be in flight.
// Expected: no step until its longest attempt must have ended, as the work might run on both sides.
TEST_CASE("a plan waits for a silent member until its session and its last attempts have ended") {
  Leader leader(make_plan(1, 0s));
  leader.propose();
  leader.inspect();
  leader.silent_session = "2";
  leader.inspect();
  const auto steps_before = leader.steps();
  for (int i = 0; i < 100; ++i) CHECK_FALSE(leader.inspect());
  CHECK(leader.steps() == steps_before);
  leader.join("3");  // a new member is added meanwhile, without any other change
  CHECK(leader.inspect());
  CHECK(leader.steps() == steps_before);
  leader.fleet.members.erase("2");
  for (int i = 0; i < 4; ++i) CHECK_FALSE(leader.inspect());  // max_attempt_age of 3 s, plus the clock drift
  CHECK(leader.inspect());
  CHECK(leader.steps() != steps_before);
  CHECK(leader.task.record().roster.count("2") == 0);
}

// Failure: the leader changes, and a member of the roster has died meanwhile.
// Expected: the new leader restarts the waiting time, then takes exactly the next step.
TEST_CASE("a new leader waits for members it never saw, and continues at the stored step") {
  Leader first(make_plan(1, 0s));
  first.propose();
  first.inspect();
  first.inspect();
  Leader second(make_plan(1, 0s));
  second.task.observe(encode(first.task.record()), "1");
  second.fleet = first.fleet;
  second.fleet.fencing_token = 9;
  second.fleet.members.erase("2");
  const auto steps_before = second.steps();
  for (int i = 0; i < 4; ++i) CHECK_FALSE(second.inspect());
  CHECK(second.inspect());
  CHECK(second.steps()[0] == steps_before[0] + 1);
  CHECK(second.task.record().fencing_token == 9);
}

TEST_CASE("a stage lasts its minimum duration, and loads of an area run on one side at most") {
  Leader leader(make_plan(1, 10s));
  leader.propose();
  leader.inspect();
  leader.inspect();
  CHECK(leader.steps() == std::vector<std::size_t>{1});
  for (int i = 0; i < 10; ++i) CHECK_FALSE(leader.inspect());
  CHECK(leader.inspect());
  CHECK(leader.steps() == std::vector<std::size_t>{2});
  using Loads = routing::Rule::Loads;
  std::vector<Loads> seen;
  for (int i = 0; i < 30 && leader.outcome().empty(); ++i) {
    leader.inspect();
    seen.push_back(leader.task.routing_table()->rules.at(TableGroupId{1}).loads);
  }
  seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
  CHECK(seen == std::vector<Loads>{Loads::from, Loads::nowhere, Loads::to,
                                   Loads::from});             // the last entry is the rule of the new home
  CHECK_FALSE(routing_table_for(leader.task.record(), "7"));  // not in the roster
}

void report_outcomes(Leader& leader, std::int64_t served_at_target) {
  for (auto& [session, member] : leader.fleet.members) {
    auto& tally = member.tallies["south"];
    migration::add_tally(tally, {100, 100, 0, 0, 100, served_at_target, 0, 0}, 1);
  }
}

void report_and_inspect(Leader& leader, std::int64_t served_at_target) {
  report_outcomes(leader, served_at_target);
  leader.inspect();
}

// Failure: the target serves a smaller share of its requests than the source.
// Expected: the plan halts or rolls back, as on_fail says. Without outcomes it neither advances nor fails.
TEST_CASE(
    "a failed gate halts the plan or rolls it back in reverse order; with too few outcomes the plan waits") {
  for (const auto on_fail : {OnFail::hold, OnFail::roll_back}) {
    Plan plan = make_plan(2, 0s);
    plan.gate = migration::Gate{};
    plan.on_fail = on_fail;
    Leader leader(plan);
    leader.propose();
    leader.inspect();
    leader.inspect();
    for (int i = 0; i < 20; ++i) CHECK_FALSE(leader.inspect());  // no outcomes yet
    CHECK(leader.steps() == std::vector<std::size_t>{1, 0});
    for (int i = 0; i < 30 && leader.steps() != std::vector<std::size_t>{4, 1}; ++i)
      report_and_inspect(leader, 100);
    REQUIRE(leader.steps() == std::vector<std::size_t>{4, 1});
    leader.inspect();  // starts the stage's span
    report_outcomes(leader, 60);
    leader.inspect();
    CHECK(leader.task.record().plans[0].cause == "served 0.600, on the side left behind 1.000");
    if (on_fail == OnFail::hold) {
      CHECK(leader.task.record().plans[0].halted);
      bool held = true;
      for (int i = 0; i < 10; ++i) {
        report_outcomes(leader, 100);
        held &= !leader.inspect();
      }
      CHECK(held);
      leader.fleet.operator_requests["wish/south"] = "resume";
      for (int i = 0; i < 30 && leader.outcome().empty(); ++i) report_and_inspect(leader, 100);
      CHECK(leader.outcome() == "done");
    } else {
      bool reverse_order = true;
      for (int i = 0; i < 60 && leader.outcome().empty(); ++i) {
        report_and_inspect(leader, 60);
        if (!leader.steps().empty()) reverse_order &= leader.steps()[0] == 4 || leader.steps()[1] == 0;
      }
      CHECK(reverse_order);
      CHECK(leader.outcome().rfind("went back: served", 0) == 0);
      CHECK(leader.task.record().homes.at(TableGroupId{1}).name == "old");
    }
  }
}

// Failure: while a plan rolls back, the source serves even fewer requests than the target.
// Expected: the plan halts instead of alternating between directions, until staff resume it.
TEST_CASE("a rollback whose own gate fails halts, and continues when staff resume it") {
  Plan plan = make_plan(1, 0s);
  plan.gate = migration::Gate{};
  plan.on_fail = OnFail::roll_back;
  plan.stages = {{0.3, 0.3, 0s}, {0.6, 0.6, 0s}, {1, 1, 0s}};
  Leader leader(plan);
  leader.propose();
  for (int i = 0; i < 30 && leader.steps() != std::vector<std::size_t>{2}; ++i)
    report_and_inspect(leader, 100);
  leader.inspect();  // starts the stage's span
  report_outcomes(leader, 10);
  leader.inspect();
  REQUIRE(leader.task.record().plans[0].rolling_back);
  for (auto& [session, member] : leader.fleet.members)  // now the source serves even fewer
    migration::add_tally(member.tallies["south"], {1000, 10, 0, 0, 1000, 1000, 0, 0}, 1);
  for (int i = 0; i < 5; ++i) leader.inspect();
  REQUIRE(leader.task.record().plans.size() == 1);
  CHECK(leader.task.record().plans[0].halted);
  leader.fleet.operator_requests["wish/south"] = "resume";
  for (int i = 0; i < 30 && leader.outcome().empty(); ++i) report_and_inspect(leader, 10);
  CHECK(leader.outcome().rfind("went back", 0) == 0);
}

TEST_CASE(
    "plans with a common area exclude each other, others run concurrently, malformed ones are rejected") {
  Leader leader(make_plan(2, 10s));
  leader.propose();
  Plan other = make_plan(3, 0s);
  other.name = "wide";
  leader.fleet.operator_requests["plan/wide"] = plan_json(other);
  other.name = "apart";
  other.moves = {{TableGroupId{50}, "old", "new", {}}};
  leader.fleet.operator_requests["plan/apart"] = plan_json(other);
  leader.fleet.operator_requests["plan/noise"] = "{";
  leader.fleet.operator_requests["plan/named"] = plan_json(other);
  leader.inspect();
  const auto& record = leader.task.record();
  CHECK(leader.fleet.operator_requests.empty());
  CHECK(record.outcomes.at("wide") == "turned down: area 1 is in plan south");
  CHECK(record.outcomes.at("noise") == "turned down: it can't be read");
  CHECK(record.outcomes.at("named") == "turned down: it is of another name");
  CHECK(record.plans.size() == 2);
  for (int i = 0; i < 8; ++i) leader.inspect();
  CHECK(record.outcomes.at("apart") == "done");
  CHECK(record.plans.size() == 1);
}

}  // namespace
}  // namespace yokestream::test
