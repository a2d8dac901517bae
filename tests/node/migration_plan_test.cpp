// Plans and their record as JSON: what is read back, what is named as a problem, who a stage's share is.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

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
  plan.on_fail = OnFail::roll_back;
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

TEST_CASE("a record survives its JSON; noise, other forms and steps beyond the last make no sense") {
  Owner owner(a_plan(2, 0s));
  owner.propose();
  for (int i = 0; i < 4; ++i) owner.look();
  const MigrationRecord& record = owner.mover.record();
  CHECK(migration::decode_record(encode(record)) == record);
  for (const char* bad : {"", "{}", "[]", "{\"form\":2}", "noise"})
    CHECK_FALSE(migration::decode_record(bad));
  MigrationRecord broken = record;
  broken.plans[0].steps[0] = 99;
  CHECK_FALSE(migration::decode_record(encode(broken)));
  MigrationTask mover(1s, 0);
  CHECK_FALSE(mover.observe("noise", "1"));
}

TEST_CASE("a stage's share of the edges is the same ones as it grows, by name") {
  MigrationRecord record;
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
