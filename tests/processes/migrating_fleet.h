// Test fixture: three managers of one fleet, two engines, and areas that may move between them. Staff
// requests go through the program's commands. The fixture waits for states of the store, and checks the
// requests that the engines received.
#pragma once

#include <fstream>
#include <set>

#include "migration/migration_task.h"
#include "three_managers.h"

namespace yokestream::test {

using migration::MigrationRecord;
using migration::MigrationTask;

// Loads are sent by the clients from number 16, so that their ids start with the prefix, in hex.
inline constexpr int kFirstLoadClient = 16;
inline const char* const kLoadIdPrefix = "0000001";

inline MigrationRecord migration_record(StoreModel& model) {
  const auto found = model.range({kStoreKeys.task_state(MigrationTask::kName), {}, 0});
  return found.empty() ? MigrationRecord{}
                       : migration::decode_record(found[0].value).value_or(MigrationRecord{});
}

struct TargetEngine {
  FakeEngine new_engine{1, true};
  config::Endpoint endpoint = new_engine.endpoint();
};

struct MigratingFleet : TargetEngine, ThreeManagers {
  MigratingFleet() : ThreeManagers(", areas: [17, 18]", &endpoint) {
    server.wait([&](StoreModel& model) { return migration_record(model).roster.size() == 3; });
  }
  // Clients of one process: looks and loads for area 17, and looks for no area.
  struct Clients {
    explicit Clients(const config::Endpoint& manager, int first = 0)
        : looks(manager, 2, {"look", " from sales_17.orders", first}),
          loads(manager, 2, {"load", " from sales_17.orders", kFirstLoadClient + first}),
          others(manager, 1, {"look", "", 32 + first}) {}
    void stop() { looks.stop(), loads.stop(), others.stop(); }
    ClientPool looks, loads, others;
  };
  std::string plan(const std::string& name, int hold_ms, const std::string& moves) {
    return "{name: '" + name + "', origins: {old: {uids: ['e1']}, new: {uids: ['e2']}}, moves: [" + moves +
           "], stages: [{edges: 0.4, traffic: 0.5, hold_ms: " + std::to_string(hold_ms) +
           "}, {hold_ms: " + std::to_string(hold_ms) + "}]}";
  }
  std::string single_area_plan(int hold_ms) {
    return plan("south", hold_ms, "{area: 17, from: 'old', to: 'new'}");
  }
  // Runs a fleet command as staff do, with the configuration of one manager.
  CommandResult run_fleet_command(const std::string& name, const std::string& argument = "",
                                  std::size_t manager_index = 0) {
    Manager& manager = *managers[manager_index];
    const std::string config = manager.directory.path() + "/staff.json", operators = config + ".operators";
    std::ofstream(config) << manager.platform_config;
    std::ofstream(operators) << R"({fleet: {on: true, areas: [17, 18], store: [")"
                             << to_string(server.endpoint()) << R"("]}})";
    std::vector<std::string> words = {"fleet", name, "-c", config, "-o", operators};
    if (name == "propose") std::ofstream(words.emplace_back(config + ".plan")) << argument;
    if (name == "halt" || name == "resume") words.push_back(argument);
    return run_command(words);
  }
  void propose(const std::string& text) {
    const CommandResult result = run_fleet_command("propose", text);
    INFO(result.output);
    REQUIRE(result.status == 0);
    wait_for_step(1);
    started_at = net::now();  // every edge has acknowledged step 0
  }
  void wait_for_step(std::size_t step) {
    server.wait([&](StoreModel& model) {
      const auto current = migration_record(model);
      return current.plans.size() == 1 && current.plans[0].steps[0] >= step;
    });
  }
  void wait_for_outcome(const std::string& name = "south") {
    server.wait([&](StoreModel& model) { return migration_record(model).outcomes.count(name) == 1; });
  }
  std::string outcome(const std::string& name = "south") {
    return server.with([&](StoreModel& model) { return migration_record(model).outcomes[name]; });
  }
  // No load was received twice, and none by the old engine after one was received by the new engine.
  void check_load_sides() {
    auto old_side = engine.request_log().with_id_prefix(kLoadIdPrefix);
    auto new_side = new_engine.request_log().with_id_prefix(kLoadIdPrefix);
    std::set<std::string> ids;
    for (const auto* side : {&old_side, &new_side})
      for (const auto& [time, id] : *side) CHECK(ids.insert(id).second);
    // Before the plan starts the area has no rule, so its loads may use any engine.
    std::erase_if(new_side, [&](const auto& one) { return one.first < started_at; });
    REQUIRE_FALSE(new_side.empty());
    if (!old_side.empty()) CHECK(old_side.back().first < new_side.front().first);
  }
  Time started_at{};
  // Waits for a load at the new engine; others may have been rejected meanwhile.
  void wait_for_loads_at_target() {
    const auto load_received = [&] {
      const auto all = new_engine.request_log().with_id_prefix(kLoadIdPrefix);
      return !all.empty() && all.back().first >= started_at;
    };
    while (!load_received()) std::this_thread::yield();
  }
  void check_completed(Clients& clients) {
    wait_for_loads_at_target();
    clients.stop();
    check_load_sides();
    CHECK(clients.loads.lost == 0);
  }
  std::size_t index_after(std::size_t i) { return (i + 1) % 3; }
};

}  // namespace yokestream::test
