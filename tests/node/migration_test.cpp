// Plans, their record, and the steps that follow from what the owner sees.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

using migration::Record;
using migration::Running;

std::vector<std::string> problems_of(Json::Value told) {
  std::vector<std::string> problems;
  migration::read_plan(told, problems);
  return problems;
}
bool names(const std::vector<std::string>& problems, const std::string& what) {
  return std::any_of(problems.begin(), problems.end(),
                     [&](const auto& p) { return p.find(what) != std::string::npos; });
}

TEST_CASE("a plan survives its JSON, and each problem is named with its path, all of them at once") {
  Plan plan = a_plan(3);
  plan.gate = migration::Gate{0.1, 2, 40};
  plan.on_fail = OnFail::back;
  plan.origins["new"].cells = {7};
  std::vector<std::string> none;
  CHECK(migration::read_plan(migration::to_json(plan), none) == plan);
  CHECK(none.empty());
  const auto with = [&](auto&& change) {
    Json::Value told = migration::to_json(plan);
    change(told);
    return problems_of(told);
  };
  CHECK(
      names(with([](auto& v) { v["moves"][0]["after"].append(3); }), "moves[0].after: it waits for itself"));
  CHECK(names(with([](auto& v) { v["moves"][1]["to"] = "nowhere"; }), "moves[1].to: no such origin"));
  CHECK(names(with([](auto& v) { v["moves"][1]["after"][0] = 99; }), "moves[1].after[0]: an area that"));
  CHECK(names(with([](auto& v) { v["moves"][2]["area"] = 1; }), "moves[2].area: it moves twice"));
  CHECK(names(with([](auto& v) { v["stages"][1]["edges"] = 0.2; }), "stages[1]: it does not grow"));
  CHECK(names(with([](auto& v) { v["stages"][1]["traffic"] = 0.9; }), "stages[1]: the last stage"));
  CHECK(names(with([](auto& v) { v["extra"] = 1; }), "extra: unknown key"));
  CHECK(names(with([](auto& v) { v["gate"]["slower"] = 0; }), "gate.slower"));
  CHECK(names(with([](auto& v) { v["on_fail"] = "pray"; }), "on_fail"));
  const auto several =
      with([](auto& v) { v["name"] = "a/b", v["moves"][0].removeMember("from"), v["stages"] = 3; });
  CHECK(several.size() == 3);
  std::vector<std::string> here;
  config::Member engine;
  engine.zone = "a";
  migration::check_against(plan, {TableGroupId{1}, TableGroupId{2}}, {engine}, here);
  CHECK(here.size() == 2);
  CHECK(names(here, "moves[2].area: not among fleet.areas"));
  CHECK(names(here, "origins.new: no engine matches it"));
}

// The owner's side alone, told what it sees.
struct Owner {
  explicit Owner(Plan p, unsigned without = 0) : plan(std::move(p)), mover(3s, 0.01, without) {
    looked.term = 5;
    live("1"), live("2");
  }
  void live(const std::string& session) { looked.living[session] = {"n" + session, "1", 0, {}, {}}; }
  // One look; true: it wrote. All living sessions but `silent` act on it at once.
  bool look(Duration later = 1s) {
    looked.now += later;
    const auto draft = mover.next(looked);
    if (!draft) return false;
    for (const auto& asked : draft->answered) looked.asked.erase(asked);
    CHECK(mover.see(draft->state, "1"));
    for (auto& [session, fact] : looked.living)
      if (session != silent) fact.seen[Mover::kName] = mover.record().epoch;
    return true;
  }
  void propose() { looked.asked["plan/" + plan.name] = text_of(plan); }
  std::vector<std::size_t> steps() const {
    return mover.record().plans.empty() ? std::vector<std::size_t>{} : mover.record().plans[0].steps;
  }
  std::string ended() const {
    const auto it = mover.record().ended.find("south");
    return it == mover.record().ended.end() ? "" : it->second;
  }
  Plan plan;
  Mover mover;
  duty::Looked looked{Time(1000s), {}, {}, 0};
  std::string silent;
};

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
  owner.looked.living.erase("2");
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
  second.mover.see(encode(first.mover.record()), "1");
  second.looked = first.looked;
  second.looked.term = 9;
  second.looked.living.erase("2");
  const auto stands = second.steps();
  for (int i = 0; i < 4; ++i) CHECK_FALSE(second.look());
  CHECK(second.look());
  CHECK(second.steps()[0] == stands[0] + 1);
  CHECK(second.mover.record().term == 9);
}

TEST_CASE("a stage lasts its time, and the loads of an area are open on one side at most") {
  Owner owner(a_plan(1, 10s));
  owner.propose();
  owner.look(), owner.look();
  CHECK(owner.steps() == std::vector<std::size_t>{1});
  for (int i = 0; i < 10; ++i) CHECK_FALSE(owner.look());
  CHECK(owner.look());
  CHECK(owner.steps() == std::vector<std::size_t>{2});
  using Loads = routes::Rule::Loads;
  std::vector<Loads> seen;
  for (int i = 0; i < 30 && owner.ended().empty(); ++i) {
    owner.look();
    seen.push_back(owner.mover.table()->rules.at(TableGroupId{1}).loads);
  }
  seen.erase(std::unique(seen.begin(), seen.end()), seen.end());
  CHECK(seen ==
        std::vector<Loads>{Loads::from, Loads::nowhere, Loads::to, Loads::from});  // then it is at home
  CHECK_FALSE(table_of(owner.mover.record(), "7"));                                // not in the roster
}

void tell(Owner& owner, std::int64_t served_there) {
  for (auto& [session, fact] : owner.looked.living) {
    auto& tally = fact.tallies["south"];
    migration::add(tally, {100, 100, 0, 0, 100, served_there, 0, 0}, 1);
  }
}

TEST_CASE("a gate that fails holds the plan, or sends it back in reverse order; too few outcomes wait") {
  for (const auto on_fail : {OnFail::hold, OnFail::back}) {
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
    CHECK(owner.mover.record().plans[0].why == "served 0.600, on the side left behind 1.000");
    if (on_fail == OnFail::hold) {
      CHECK(owner.mover.record().plans[0].halted);
      bool held = true;
      for (int i = 0; i < 10; ++i) tell(owner, 100), held &= !owner.look();
      CHECK(held);
      owner.looked.asked["wish/south"] = "resume";
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
  plan.on_fail = OnFail::back;
  plan.stages = {{0.3, 0.3, 0s}, {0.6, 0.6, 0s}, {1, 1, 0s}};
  Owner owner(plan);
  owner.propose();
  for (int i = 0; i < 30 && owner.steps() != std::vector<std::size_t>{2}; ++i) tell(owner, 100), owner.look();
  owner.look();  // the stage's span begins
  tell(owner, 10);
  owner.look();
  REQUIRE(owner.mover.record().plans[0].back);
  for (auto& [session, fact] : owner.looked.living)  // now the old side serves worse still
    migration::add(fact.tallies["south"], {1000, 10, 0, 0, 1000, 1000, 0, 0}, 1);
  for (int i = 0; i < 5; ++i) owner.look();
  REQUIRE(owner.mover.record().plans.size() == 1);
  CHECK(owner.mover.record().plans[0].halted);
  owner.looked.asked["wish/south"] = "resume";
  for (int i = 0; i < 30 && owner.ended().empty(); ++i) tell(owner, 10), owner.look();
  CHECK(owner.ended().rfind("went back", 0) == 0);
}

TEST_CASE(
    "plans that share an area exclude each other; others go on beside; what can't be read is turned down") {
  Owner owner(a_plan(2, 10s));
  owner.propose();
  Plan other = a_plan(3, 0s);
  other.name = "wide";
  owner.looked.asked["plan/wide"] = text_of(other);
  other.name = "apart";
  other.moves = {{TableGroupId{50}, "old", "new", {}}};
  owner.looked.asked["plan/apart"] = text_of(other);
  owner.looked.asked["plan/noise"] = "{";
  owner.looked.asked["plan/named"] = text_of(other);
  owner.look();
  const auto& record = owner.mover.record();
  CHECK(owner.looked.asked.empty());
  CHECK(record.ended.at("wide") == "turned down: area 1 is in plan south");
  CHECK(record.ended.at("noise") == "turned down: it can't be read");
  CHECK(record.ended.at("named") == "turned down: it is of another name");
  CHECK(record.plans.size() == 2);
  for (int i = 0; i < 8; ++i) owner.look();
  CHECK(record.ended.at("apart") == "done");
  CHECK(record.plans.size() == 1);
}

TEST_CASE("a record survives its JSON; noise, other forms and steps beyond the last make no sense") {
  Owner owner(a_plan(2, 0s));
  owner.propose();
  for (int i = 0; i < 4; ++i) owner.look();
  const Record& record = owner.mover.record();
  CHECK(migration::decode_record(encode(record)) == record);
  for (const char* bad : {"", "{}", "[]", "{\"form\":2}", "noise"})
    CHECK_FALSE(migration::decode_record(bad));
  Record broken = record;
  broken.plans[0].steps[0] = 99;
  CHECK_FALSE(migration::decode_record(encode(broken)));
  Mover mover(1s, 0);
  CHECK_FALSE(mover.see("noise", "1"));
}

TEST_CASE("a stage's share of the edges is the same ones as it grows, by name") {
  Record record;
  record.epoch = 0;
  for (int i = 0; i < 50; ++i) record.roster["s" + std::to_string(i)] = "n" + std::to_string(i);
  std::size_t before = 0;
  for (const double share : {0.1, 0.3, 0.62, 1.0}) {
    std::size_t count = 0;
    for (const auto& [session, name] : record.roster) {
      count += migration::among_first(record, session, "p", share);
      if (migration::among_first(record, session, "p", share / 2))
        CHECK(migration::among_first(record, session, "p", share));
    }
    CHECK(count == static_cast<std::size_t>(std::ceil(share * 50 - 1e-9)));
    CHECK(count > before);
    before = count;
  }
}

}  // namespace
}  // namespace yokestream::test
