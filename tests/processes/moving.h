// Three managers of one fleet, two engines and the areas that may move between them; what staff ask by the
// program's commands, and what the engines saw. Waits for what stands in the store.
#pragma once

#include <fstream>
#include <set>

#include "migration/migration_task.h"
#include "three_managers.h"

namespace yokestream::test {

using migration::MigrationRecord;
using migration::MigrationTask;

inline constexpr int kLoads = 16;  // ids of loads begin with this number, or one a little higher
inline const char* const kLoadIds = "0000001";

inline MigrationRecord record(StoreModel& model) {
  const auto found = model.range({kNames.task_state(MigrationTask::kName), {}, 0});
  return found.empty() ? MigrationRecord{}
                       : migration::decode_record(found[0].value).value_or(MigrationRecord{});
}

struct Second {
  FakeEngine new_engine{1, true};
  config::Endpoint at = new_engine.endpoint();
};

struct Moving : Second, ThreeManagers {
  Moving() : ThreeManagers(", areas: [17, 18]", &at) {
    server.wait([&](StoreModel& model) { return record(model).roster.size() == 3; });
  }
  // Clients of one process: looks and loads at area 17, looks at no area.
  struct Clients {
    explicit Clients(const config::Endpoint& at, int first = 0)
        : looks(at, 2, {"look", " from sales_17.orders", first}),
          loads(at, 2, {"load", " from sales_17.orders", kLoads + first}),
          others(at, 1, {"look", "", 32 + first}) {}
    void finish() { looks.finish(), loads.finish(), others.finish(); }
    Crowd looks, loads, others;
  };
  std::string plan(const std::string& name, int hold_ms, const std::string& moves) {
    return "{name: '" + name + "', origins: {old: {uids: ['e1']}, new: {uids: ['e2']}}, moves: [" + moves +
           "], stages: [{edges: 0.4, traffic: 0.5, hold_ms: " + std::to_string(hold_ms) +
           "}, {hold_ms: " + std::to_string(hold_ms) + "}]}";
  }
  std::string one_area(int hold_ms) { return plan("south", hold_ms, "{area: 17, from: 'old', to: 'new'}"); }
  // A command, as staff give it, by the files of one manager.
  Said fleet(const std::string& word, const std::string& what = "", std::size_t by = 0) {
    Manager& manager = *managers[by];
    const std::string config = manager.folder.path() + "/staff.json", operators = config + ".operators";
    std::ofstream(config) << manager.text;
    std::ofstream(operators) << R"({fleet: {on: true, areas: [17, 18], store: [")"
                             << to_string(server.endpoint()) << R"("]}})";
    std::vector<std::string> words = {"fleet", word, "-c", config, "-o", operators};
    if (word == "propose") std::ofstream(words.emplace_back(config + ".plan")) << what;
    if (word == "halt" || word == "resume") words.push_back(what);
    return command(words);
  }
  void propose(const std::string& text) {
    const Said said = fleet("propose", text);
    INFO(said.words);
    REQUIRE(said.status == 0);
    wait_for_step(1);
    begun = net::now();  // every edge has acknowledged that it is at its old side
  }
  void wait_for_step(std::size_t step) {
    server.wait([&](StoreModel& model) {
      const auto now_there = record(model);
      return now_there.plans.size() == 1 && now_there.plans[0].steps[0] >= step;
    });
  }
  void wait_for_end(const std::string& name = "south") {
    server.wait([&](StoreModel& model) { return record(model).outcomes.count(name) == 1; });
  }
  std::string ended(const std::string& name = "south") {
    return server.with([&](StoreModel& model) { return record(model).outcomes[name]; });
  }
  // No load came twice, and none came to the old side after one had come to the new one.
  void check_loads() {
    auto old_side = engine.request_log().with_id_prefix(kLoadIds);
    auto new_side = new_engine.request_log().with_id_prefix(kLoadIds);
    std::set<std::string> ids;
    for (const auto* side : {&old_side, &new_side})
      for (const auto& [time, id] : *side) CHECK(ids.insert(id).second);
    // an area that no plan has touched is anywhere
    std::erase_if(new_side, [&](const auto& one) { return one.first < begun; });
    REQUIRE_FALSE(new_side.empty());
    if (!old_side.empty()) CHECK(old_side.back().first < new_side.front().first);
  }
  Time begun{};
  void wait_for_new_side() {  // a load has come there, whatever else was refused meanwhile
    const auto came = [&] {
      const auto all = new_engine.request_log().with_id_prefix(kLoadIds);
      return !all.empty() && all.back().first >= begun;
    };
    while (!came()) std::this_thread::yield();
  }
  void check_end(Clients& clients) {
    wait_for_new_side();
    clients.finish();
    check_loads();
    CHECK(clients.loads.lost == 0);
  }
  std::size_t other_than(std::size_t i) { return (i + 1) % 3; }
};

}  // namespace yokestream::test
