// Test fixture: three processes of the program with one stand-in store, each on its own link that can fail.
// The store's history is checked against the coordination rules at the end.
#pragma once

#include <doctest/doctest.h>
#include <signal.h>

#include <functional>
#include <thread>

#include "client_pool.h"
#include "program.h"
#include "standin/history.h"
#include "standin/link.h"
#include "standin/store_server.h"

namespace yokestream::test {
using standin::Link;
using standin::StoreModel;

inline const coordination::StoreKeys kStoreKeys("/yokestream");
inline const std::string kCandidatesPrefix = kStoreKeys.candidates(coordination::FleetMember::kLoadShareTask);

inline std::vector<store::KeyValue> list_keys(StoreModel& model, const std::string& prefix) {
  return model.range({prefix, store::prefix_range_end(prefix), 0});
}
inline std::vector<store::KeyValue> candidates(StoreModel& model) {  // the leader first
  auto out = list_keys(model, kCandidatesPrefix);
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.create_revision < b.create_revision; });
  return out;
}
inline std::optional<coordination::LoadShareTable> load_share_table(StoreModel& model) {
  const auto found = model.range({kStoreKeys.task_state(coordination::FleetMember::kLoadShareTask), {}, 0});
  return found.empty() ? std::nullopt : coordination::decode_load_share_table(found[0].value);
}
inline std::optional<store::Revision> progress_revision(StoreModel& model) {
  const auto found =
      model.range({kStoreKeys.leader_progress(coordination::FleetMember::kLoadShareTask), {}, 0});
  return found.empty() ? std::nullopt : std::optional(found[0].mod_revision);
}

struct Manager {
  // `extra_fleet_settings`: appended to the operator file's fleet section. `second_engine`: the endpoint of a
  // second engine, e2.
  Manager(const config::Endpoint& store, const config::Endpoint& engine, const std::string& name,
          const std::string& extra_fleet_settings = "", const config::Endpoint* second_engine = nullptr)
      : link(store),
        platform_config(config_text("127.0.0.1:0", to_string(engine)).replace(9, 1, name)),
        extra_settings(extra_fleet_settings) {
    if (second_engine)
      platform_config.insert(platform_config.find("{\"uid\":\"e1\""),
                             R"({"uid":"e2","endpoint":")" + to_string(*second_engine) +
                                 R"(","az":"z","model":"m","state":"up"},)");
    platform_config.insert(platform_config.find("\"Classes\""), "\"GroupSize\":3,");
    start();
  }
  void start() {
    program.reset();
    program = std::make_unique<Program>(directory, platform_config, -1, std::map<std::string, std::string>{},
                                        R"({fleet: {on: true, lease_ms: 2000, ask_ms: 300, look_ms: 300,
                                            progress_ms: 4000, spread_ms: 500, store: [")" +
                                            to_string(link.endpoint()) + "\"]" + extra_settings + "}}");
  }
  TemporaryDirectory directory;
  Link link;  // its connections to the store
  std::string platform_config;
  std::string extra_settings;  // of the operator file's fleet section
  std::unique_ptr<Program> program;
};

struct ThreeManagers {
  explicit ThreeManagers(const std::string& extra_settings = "",
                         const config::Endpoint* second_engine = nullptr) {
    for (const char* name : {"n0", "n1", "n2"})
      managers.push_back(std::make_unique<Manager>(server.endpoint(), engine.endpoint(), name, extra_settings,
                                                   second_engine));
    wait_for_fleet(3);
  }
  // Replays the store's history against the coordination rules.
  ~ThreeManagers() {
    managers.clear();
    standin::DutyChecker checker("/yokestream", 3);
    for (const auto& change : server.with([](auto& model) { return model.history(); })) checker.take(change);
    CHECK(checker.broken() == "");
  }
  // Waits for one active leader, and `count` sessions with a share in its table.
  void wait_for_fleet(std::size_t count) {
    server.wait([&](StoreModel& model) {
      const auto current = load_share_table(model);
      return candidates(model).size() == count && current && current->shares.size() == count &&
             progress_revision(model) > candidates(model)[0].create_revision;
    });
  }
  std::size_t leader_index() {  // from its name, which is its key's value
    const auto name = server.with([](auto& model) { return candidates(model)[0].value; });
    return static_cast<std::size_t>(name.back() - '0');
  }
  store::Revision leader_revision() {
    return server.with([](auto& model) { return candidates(model)[0].create_revision; });
  }
  // Waits for a leader elected after revision `old` that has made progress.
  void wait_for_new_leader(store::Revision old) {
    server.wait([&](StoreModel& model) {
      const auto current = candidates(model);
      return !current.empty() && current[0].create_revision > old &&
             progress_revision(model) > current[0].create_revision;
    });
  }
  Program& program(std::size_t i) { return *managers[i]->program; }
  Link& link(std::size_t i) { return managers[i]->link; }

  FakeEngine engine{0, true};
  standin::StoreServer server;
  std::vector<std::unique_ptr<Manager>> managers;
};

}  // namespace yokestream::test
