// Three processes of the program round one stand-in store, each on a way of its own that can fail. What
// stands in the store at the end is replayed against the rules.
#pragma once

#include <doctest/doctest.h>
#include <signal.h>

#include <functional>
#include <thread>

#include "crowd.h"
#include "program.h"
#include "standin/history.h"
#include "standin/link.h"
#include "standin/store_server.h"

namespace yokestream::test {
using standin::Link;
using standin::StoreModel;

inline const coordination::StoreKeys kNames("/yokestream");
inline const std::string kLine = kNames.candidates(coordination::FleetMember::kLoadShareTask);

inline std::vector<store::KeyValue> all(StoreModel& model, const std::string& prefix) {
  return model.range({prefix, store::prefix_range_end(prefix), 0});
}
inline std::vector<store::KeyValue> line(StoreModel& model) {  // the owner first
  auto out = all(model, kLine);
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.create_revision < b.create_revision; });
  return out;
}
inline std::optional<coordination::LoadShareTable> table(StoreModel& model) {
  const auto found = model.range({kNames.task_state(coordination::FleetMember::kLoadShareTask), {}, 0});
  return found.empty() ? std::nullopt : coordination::decode_load_share_table(found[0].value);
}
inline std::optional<store::Revision> beaten(StoreModel& model) {
  const auto found = model.range({kNames.leader_progress(coordination::FleetMember::kLoadShareTask), {}, 0});
  return found.empty() ? std::nullopt : std::optional(found[0].mod_revision);
}

struct Manager {
  // `more`: of the operator file's section; `second`: another engine, e2.
  Manager(const config::Endpoint& store, const config::Endpoint& engine, const std::string& name,
          const std::string& more_told = "", const config::Endpoint* second = nullptr)
      : link(store),
        text(config_text("127.0.0.1:0", to_string(engine)).replace(9, 1, name)),
        more(more_told) {
    if (second)
      text.insert(text.find("{\"uid\":\"e1\""), R"({"uid":"e2","endpoint":")" + to_string(*second) +
                                                    R"(","az":"z","model":"m","state":"up"},)");
    text.insert(text.find("\"Classes\""), "\"GroupSize\":3,");
    start();
  }
  void start() {
    program.reset();
    program = std::make_unique<Program>(folder, text, -1, std::map<std::string, std::string>{},
                                        R"({fleet: {on: true, lease_ms: 2000, ask_ms: 300, look_ms: 300,
                                            progress_ms: 4000, spread_ms: 500, store: [")" +
                                            to_string(link.endpoint()) + "\"]" + more + "}}");
  }
  Folder folder;
  Link link;  // its way to the store
  std::string text, more;
  std::unique_ptr<Program> program;
};

struct ThreeManagers {
  explicit ThreeManagers(const std::string& more = "", const config::Endpoint* second = nullptr) {
    for (const char* name : {"n0", "n1", "n2"})
      managers.push_back(std::make_unique<Manager>(server.endpoint(), engine.endpoint(), name, more, second));
    wait_for_all(3);
  }
  // What stands in the store, replayed against the rules.
  ~ThreeManagers() {
    managers.clear();
    standin::DutyChecker checker("/yokestream", 3);
    for (const auto& change : server.with([](auto& model) { return model.history(); })) checker.take(change);
    CHECK(checker.broken() == "");
  }
  // One owner that acts, and so many sessions with a part in its table.
  void wait_for_all(std::size_t count) {
    server.wait([&](StoreModel& model) {
      const auto now_there = table(model);
      return line(model).size() == count && now_there && now_there->shares.size() == count &&
             beaten(model) > line(model)[0].create_revision;
    });
  }
  std::size_t owner() {  // by its name, which its key holds
    const auto name = server.with([](auto& model) { return line(model)[0].value; });
    return static_cast<std::size_t>(name.back() - '0');
  }
  store::Revision term() {
    return server.with([](auto& model) { return line(model)[0].create_revision; });
  }
  // Another owner than that of this term, and it has done something.
  void wait_for_next(store::Revision old) {
    server.wait([&](StoreModel& model) {
      const auto now_there = line(model);
      return !now_there.empty() && now_there[0].create_revision > old &&
             beaten(model) > now_there[0].create_revision;
    });
  }
  Program& program(std::size_t i) { return *managers[i]->program; }
  Link& link(std::size_t i) { return managers[i]->link; }

  FakeEngine engine{0, true};
  standin::StoreServer server;
  std::vector<std::unique_ptr<Manager>> managers;
};

}  // namespace yokestream::test
