// A store that loses replies, is away, set back, compacted or holds what is not ours, on real processes.
#include "three_managers.h"

namespace yokestream::test {
namespace {

// Whose transaction it is shows in what it puts or deletes.
bool enters(const store::Txn& txn) {
  return std::any_of(txn.on_success.begin(), txn.on_success.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key.starts_with(kLine);
  });
}
bool publishes(const store::Txn& txn) {
  return std::any_of(txn.on_success.begin(), txn.on_success.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key == kNames.task_state(coordination::FleetMember::kLoadShareTask);
  });
}
bool releases(const store::Txn& txn) {
  const auto* del = txn.on_success.empty() ? nullptr : std::get_if<store::Delete>(&txn.on_success[0]);
  return del && del->key.starts_with(kLine);
}

TEST_CASE_FIXTURE(ThreeManagers, "a reply lost after the commit of an election, of a table, of a release") {
  server.lose_reply(enters);
  program(1).tell(SIGKILL);
  program(1).ended();
  managers[1]->start();
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_all(3);  // in line once, and with a part
  server.lose_reply(publishes);
  program(2).tell(SIGKILL);  // so that the table changes
  program(2).ended();
  managers[2]->start();
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_all(3);
  server.lose_reply(releases);
  const auto old = term();
  program(owner()).tell(SIGTERM);
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_next(old);
  wait_for_all(2);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "the store away past all leases: clients are served on, then there is one owner again") {
  Crowd crowd(program(0).serves_on(), 3);
  crowd.wait_for(20);
  const auto old = term();
  for (auto& manager : managers) manager->link.refuse(true), manager->link.close_all();
  server.wait([](auto& model) { return all(model, kNames.member()).empty(); });
  crowd.wait_for(50);
  for (auto& manager : managers) manager->link.refuse(false);
  wait_for_next(old);
  wait_for_all(3);
  crowd.finish();
  CHECK(crowd.lost == 0);
  CHECK(crowd.turned_back == 0);
}

TEST_CASE_FIXTURE(ThreeManagers, "watches cut and compacted under the processes") {
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return beaten(model); });
    server.with([](auto& model) { model.compact(); });
    for (auto& manager : managers) manager->link.close_all();
    server.wait([&](auto& model) { return beaten(model) > before; });
  }
  wait_for_all(3);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "a store set back to an older state: all say so, and nothing more is written") {
  const auto then = server.with([](auto& model) { return model.snapshot(); });
  // newer than that, and heard of by all that watch
  server.with([](auto& model) {
    for (int i = 0; i < 20; ++i)
      model.handle(net::now(), store::Txn{{}, {store::Put{kNames.task_states() + "another", "", {}}}, {}});
  });
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return beaten(model); });
    server.wait([&](auto& model) { return beaten(model) > before; });
  }
  server.with([&](auto& model) { model = then; });
  for (std::size_t i = 0; i < 3; ++i) CHECK(program(i).until("the store was restored from an older backup"));
  server.wait([](auto& model) { return all(model, kNames.member()).empty(); });  // their leases have ended
  CHECK(server.with([&](auto& model) { return table(model) == table(const_cast<StoreModel&>(then)); }));
}

TEST_CASE("a foreign form and an unreadable record are told and left alone; clients are served") {
  FakeEngine engine(0, true);
  standin::StoreServer server;
  for (const auto& [key, words] :
       {std::pair{kNames.format(), "unsupported storage format under /yokestream/"},
        std::pair{kNames.task_state(coordination::FleetMember::kLoadShareTask),
                  "malformed record in the store: /yokestream/state/shares"}}) {
    server.with([&, &at = key](auto& model) {
      model = StoreModel();
      model.handle(net::now(), store::Txn{{}, {store::Put{at, "another program's", {}}}, {}});
    });
    Manager manager(server.endpoint(), engine.endpoint(), "n0");
    Crowd crowd(manager.program->serves_on(), 2);
    CHECK(manager.program->until(words));
    crowd.wait_for(20);
    crowd.finish();
    CHECK(crowd.lost == 0);
    const std::string value = server.with([&, &at = key](auto& model) {
      return model.range({at, {}, 0})[0].value;
    });
    CHECK(value == "another program's");
  }
}

TEST_CASE("a bad setting of the fleet gets one message that names it, and exit 1") {
  Folder folder;
  for (const auto& [text, key] : {std::pair{R"({fleet: {on: true}})", "fleet.store"},
                                  std::pair{R"({fleet: {store: ["x"]}})", "fleet.store[0]"},
                                  std::pair{R"({fleet: {lease_ms: 1}})", "fleet.lease_ms"},
                                  std::pair{R"({fleet: {leese: 1}})", "fleet.leese"},
                                  std::pair{R"({fleet: {prefix: "a/"}})", "fleet.prefix"},
                                  std::pair{R"({fleet: {ask_ms: 5000}})", "fleet.ask_ms"}}) {
    Program program(folder, config_text(), -1, {}, text);
    CHECK(program.until(key));
    CHECK(program.ended() == 1);
  }
}

}  // namespace
}  // namespace yokestream::test
