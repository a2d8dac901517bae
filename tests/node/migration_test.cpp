// The steps that follow from what the owner sees: order, acknowledgements, gates, ways back.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

TEST_CASE(
    "a chain of areas goes stage by stage, each after the one before it is wholly there, and is at home") {
  Owner owner(a_plan(3, 0s));
  owner.propose();
  std::vector<std::vector<std::size_t>> seen;
  for (int i = 0; i < 40 && owner.ended().empty(); ++i)
    if (owner.look()) seen.push_back(owner.steps());
  CHECK(owner.ended() == "done");
  for (const auto& steps : seen)
    for (std::size_t i = 1; i < steps.size(); ++i) CHECK((steps[i] == 0 || steps[i - 1] == 4));
  CHECK(owner.mover.record().homes.at(TableGroupId{3}).name == "new");
  owner.propose();  // from where they are no more
  owner.look();
  CHECK(owner.ended() == "turned down: area 1 is at home at new");
}

TEST_CASE(
    "nothing goes on while one edge is silent, until its session has ended and the longest time has passed") {
  Owner owner(a_plan(1, 0s));
  owner.propose();
  owner.look();
  owner.silent = "2";
  owner.look();
  const auto stands = owner.steps();
  for (int i = 0; i < 100; ++i) CHECK_FALSE(owner.look());
  CHECK(owner.steps() == stands);
  owner.live("3");  // who joins is let in meanwhile, and changes nothing
  CHECK(owner.look());
  CHECK(owner.steps() == stands);
  owner.looked.members.erase("2");
  for (int i = 0; i < 4; ++i) CHECK_FALSE(owner.look());  // 3 s and the drift
  CHECK(owner.look());
  CHECK(owner.steps() != stands);
  CHECK(owner.mover.record().roster.count("2") == 0);
}

TEST_CASE("an owner that takes over waits for who it never saw alive, and goes on at the step that stands") {
  Owner first(a_plan(1, 0s));
  first.propose();
  first.look(), first.look();
  Owner second(a_plan(1, 0s));
  second.mover.observe(encode(first.mover.record()), "1");
  second.looked = first.looked;
  second.looked.fencing_token = 9;
  second.looked.members.erase("2");
  const auto stands = second.steps();
  for (int i = 0; i < 4; ++i) CHECK_FALSE(second.look());
  CHECK(second.look());
  CHECK(second.steps()[0] == stands[0] + 1);
  CHECK(second.mover.record().fencing_token == 9);
}

TEST_CASE("a stage lasts its time, and the loads of an area are open on one side at most") {
  Owner owner(a_plan(1, 10s));
  owner.propose();
  owner.look(), owner.look();
  CHECK(owner.steps() == std::vector<std::size_t>{1});
  for (int i = 0; i < 10; ++i) CHECK_FALSE(owner.look());
  CHECK(owner.look());
  CHECK(owner.steps() == std::vector<std::size_t>{2});
  using Loads = routing::Rule::Loads;
  std::vector<Loads> seen;
  for (int i = 0; i < 30 && owner.ended().empty(); ++i) {
    owner.look();
    seen.push_back(owner.mover.routing_table()->rules.at(TableGroupId{1}).loads);
  }
  seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
  CHECK(seen ==
        std::vector<Loads>{Loads::from, Loads::nowhere, Loads::to, Loads::from});  // then it is at home
  CHECK_FALSE(table_of(owner.mover.record(), "7"));                                // not in the roster
}

void tell(Owner& owner, std::int64_t served_there) {
  for (auto& [session, fact] : owner.looked.members) {
    auto& tally = fact.tallies["south"];
    migration::add(tally, {100, 100, 0, 0, 100, served_there, 0, 0}, 1);
  }
}

TEST_CASE("a gate that fails holds the plan, or sends it back in reverse order; too few outcomes wait") {
  for (const auto on_fail : {OnFail::hold, OnFail::roll_back}) {
    Plan plan = a_plan(2, 0s);
    plan.gate = migration::Gate{};
    plan.on_fail = on_fail;
    Owner owner(plan);
    owner.propose();
    owner.look(), owner.look();
    for (int i = 0; i < 20; ++i) CHECK_FALSE(owner.look());  // nothing has been answered
    CHECK(owner.steps() == std::vector<std::size_t>{1, 0});
    for (int i = 0; i < 30 && owner.steps() != std::vector<std::size_t>{4, 1}; ++i)
      tell(owner, 100), owner.look();
    REQUIRE(owner.steps() == std::vector<std::size_t>{4, 1});
    owner.look();  // the stage's span begins
    tell(owner, 60);
    owner.look();
    CHECK(owner.mover.record().plans[0].cause == "served 0.600, on the side left behind 1.000");
    if (on_fail == OnFail::hold) {
      CHECK(owner.mover.record().plans[0].halted);
      bool held = true;
      for (int i = 0; i < 10; ++i) tell(owner, 100), held &= !owner.look();
      CHECK(held);
      owner.looked.staff_requests["wish/south"] = "resume";
      for (int i = 0; i < 30 && owner.ended().empty(); ++i) tell(owner, 100), owner.look();
      CHECK(owner.ended() == "done");
    } else {
      bool second_first = true;
      for (int i = 0; i < 60 && owner.ended().empty(); ++i) {
        tell(owner, 60), owner.look();
        if (!owner.steps().empty()) second_first &= owner.steps()[0] == 4 || owner.steps()[1] == 0;
      }
      CHECK(second_first);
      CHECK(owner.ended().rfind("went back: served", 0) == 0);
      CHECK(owner.mover.record().homes.at(TableGroupId{1}).name == "old");
    }
  }
}

TEST_CASE("a way back whose own gate fails halts, and goes on when staff say so") {
  Plan plan = a_plan(1, 0s);
  plan.gate = migration::Gate{};
  plan.on_fail = OnFail::roll_back;
  plan.stages = {{0.3, 0.3, 0s}, {0.6, 0.6, 0s}, {1, 1, 0s}};
  Owner owner(plan);
  owner.propose();
  for (int i = 0; i < 30 && owner.steps() != std::vector<std::size_t>{2}; ++i) tell(owner, 100), owner.look();
  owner.look();  // the stage's span begins
  tell(owner, 10);
  owner.look();
  REQUIRE(owner.mover.record().plans[0].rolling_back);
  for (auto& [session, fact] : owner.looked.members)  // now the old side serves worse still
    migration::add(fact.tallies["south"], {1000, 10, 0, 0, 1000, 1000, 0, 0}, 1);
  for (int i = 0; i < 5; ++i) owner.look();
  REQUIRE(owner.mover.record().plans.size() == 1);
  CHECK(owner.mover.record().plans[0].halted);
  owner.looked.staff_requests["wish/south"] = "resume";
  for (int i = 0; i < 30 && owner.ended().empty(); ++i) tell(owner, 10), owner.look();
  CHECK(owner.ended().rfind("went back", 0) == 0);
}

TEST_CASE(
    "plans that share an area exclude each other; others go on beside; what can't be read is turned down") {
  Owner owner(a_plan(2, 10s));
  owner.propose();
  Plan other = a_plan(3, 0s);
  other.name = "wide";
  owner.looked.staff_requests["plan/wide"] = text_of(other);
  other.name = "apart";
  other.moves = {{TableGroupId{50}, "old", "new", {}}};
  owner.looked.staff_requests["plan/apart"] = text_of(other);
  owner.looked.staff_requests["plan/noise"] = "{";
  owner.looked.staff_requests["plan/named"] = text_of(other);
  owner.look();
  const auto& record = owner.mover.record();
  CHECK(owner.looked.staff_requests.empty());
  CHECK(record.outcomes.at("wide") == "turned down: area 1 is in plan south");
  CHECK(record.outcomes.at("noise") == "turned down: it can't be read");
  CHECK(record.outcomes.at("named") == "turned down: it is of another name");
  CHECK(record.plans.size() == 2);
  for (int i = 0; i < 8; ++i) owner.look();
  CHECK(record.outcomes.at("apart") == "done");
  CHECK(record.plans.size() == 1);
}

}  // namespace
}  // namespace yokestream::test
