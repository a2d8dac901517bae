// Plans and the migration record as JSON: round trips, reported problems, and the members that a stage
// selects.
#include "migration_fixture.h"

namespace yokestream::test {
namespace {

std::vector<std::string> problems_in(Json::Value value) {
  std::vector<std::string> problems;
  migration::read_plan(value, problems);
  return problems;
}
bool reports(const std::vector<std::string>& problems, const std::string& what) {
  return std::any_of(problems.begin(), problems.end(),
                     [&](const auto& p) { return p.find(what) != std::string::npos; });
}

TEST_CASE("a plan round-trips through JSON, and all problems are reported at once, each with its path") {
  Plan plan = make_plan(3);
  plan.gate = migration::Gate{0.1, 2, 40};
  plan.on_fail = OnFail::roll_back;
  plan.origins["new"].cells = {7};
  std::vector<std::string> no_problems;
  CHECK(migration::read_plan(migration::to_json(plan), no_problems) == plan);
  CHECK(no_problems.empty());
  const auto problems_after = [&](auto&& change) {
    Json::Value value = migration::to_json(plan);
    change(value);
    return problems_in(value);
  };
  CHECK(reports(problems_after([](auto& v) { v["moves"][0]["after"].append(3); }),
                "moves[0].after: circular prerequisites"));
  CHECK(reports(problems_after([](auto& v) { v["moves"][1]["to"] = "nowhere"; }),
                "moves[1].to: no such origin"));
  CHECK(reports(problems_after([](auto& v) { v["moves"][1]["after"][0] = 99; }),
                "moves[1].after[0]: not an area of this plan"));
  CHECK(reports(problems_after([](auto& v) { v["moves"][2]["area"] = 1; }), "moves[2].area: duplicate area"));
  CHECK(reports(problems_after([](auto& v) { v["stages"][1]["edges"] = 0.2; }),
                "stages[1]: not larger than the stage before"));
  CHECK(
      reports(problems_after([](auto& v) { v["stages"][1]["traffic"] = 0.9; }), "stages[1]: the last stage"));
  CHECK(reports(problems_after([](auto& v) { v["extra"] = 1; }), "extra: unknown key"));
  CHECK(reports(problems_after([](auto& v) { v["gate"]["slower"] = 0; }), "gate.slower"));
  CHECK(reports(problems_after([](auto& v) { v["on_fail"] = "pray"; }), "on_fail"));
  const auto several = problems_after([](auto& v) {
    v["name"] = "a/b";
    v["moves"][0].removeMember("from");
    v["stages"] = 3;
  });
  CHECK(several.size() == 3);
  std::vector<std::string> local_problems;
  config::Member engine;
  engine.zone = "a";
  migration::check_against_installation(plan, {TableGroupId{1}, TableGroupId{2}}, {engine}, local_problems);
  CHECK(local_problems.size() == 2);
  CHECK(reports(local_problems, "moves[2].area: not among fleet.areas"));
  CHECK(reports(local_problems, "origins.new: no engine matches it"));
}

TEST_CASE("a record round-trips through JSON; garbage, other formats and out-of-range steps are malformed") {
  Leader leader(make_plan(2, 0s));
  leader.propose();
  for (int i = 0; i < 4; ++i) leader.inspect();
  const MigrationRecord& record = leader.task.record();
  CHECK(migration::decode_record(encode(record)) == record);
  for (const char* bad : {"", "{}", "[]", "{\"form\":2}", "noise"})
    CHECK_FALSE(migration::decode_record(bad));
  MigrationRecord broken = record;
  broken.plans[0].steps[0] = 99;
  CHECK_FALSE(migration::decode_record(encode(broken)));
  MigrationTask task(1s, 0);
  CHECK_FALSE(task.observe("noise", "1"));
}

TEST_CASE("a larger stage includes the members of the stage before") {
  MigrationRecord record;
  record.epoch = 0;
  for (int i = 0; i < 50; ++i) record.roster["s" + std::to_string(i)] = "n" + std::to_string(i);
  std::size_t before = 0;
  for (const double share : {0.1, 0.3, 0.62, 1.0}) {
    std::size_t count = 0;
    for (const auto& [session, name] : record.roster) {
      count += migration::is_in_leading_share(record, session, "p", share);
      if (migration::is_in_leading_share(record, session, "p", share / 2))
        CHECK(migration::is_in_leading_share(record, session, "p", share));
    }
    CHECK(count == static_cast<std::size_t>(std::ceil(share * 50 - 1e-9)));
    CHECK(count > before);
    before = count;
  }
}

}  // namespace
}  // namespace yokestream::test
