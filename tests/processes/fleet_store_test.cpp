// Real processes against a store that loses replies, is unreachable, is restored to an older state, is
// compacted, or holds foreign data.
#include "three_managers.h"

namespace yokestream::test {
namespace {

// These recognize a transaction by the keys that it puts or deletes.
bool registers_candidate(const store::Txn& txn) {
  return std::any_of(txn.on_success.begin(), txn.on_success.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key.starts_with(kCandidatesPrefix);
  });
}
bool publishes_table(const store::Txn& txn) {
  return std::any_of(txn.on_success.begin(), txn.on_success.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key == kStoreKeys.task_state(coordination::FleetMember::kLoadShareTask);
  });
}
bool withdraws_candidate(const store::Txn& txn) {
  const auto* del = txn.on_success.empty() ? nullptr : std::get_if<store::Delete>(&txn.on_success[0]);
  return del && del->key.starts_with(kCandidatesPrefix);
}

TEST_CASE_FIXTURE(ThreeManagers,
                  "the fleet recovers from a lost reply to a candidacy, a table update and a resignation") {
  server.lose_reply(registers_candidate);
  program(1).send_signal(SIGKILL);
  program(1).wait_for_exit();
  managers[1]->start();
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_fleet(3);  // a candidate once, and with a load share
  server.lose_reply(publishes_table);
  program(2).send_signal(SIGKILL);  // so that the table changes
  program(2).wait_for_exit();
  managers[2]->start();
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_fleet(3);
  server.lose_reply(withdraws_candidate);
  const auto old = leader_revision();
  program(leader_index()).send_signal(SIGTERM);
  while (!server.lost_reply()) std::this_thread::yield();
  wait_for_new_leader(old);
  wait_for_fleet(2);
}

TEST_CASE_FIXTURE(
    ThreeManagers,
    "clients are served while the store is unreachable and leases expire; then one leader is elected") {
  ClientPool clients(program(0).client_endpoint(), 3);
  clients.wait_for_responses(20);
  const auto old = leader_revision();
  for (auto& manager : managers) manager->link.refuse(true), manager->link.close_all();
  server.wait([](auto& model) { return list_keys(model, kStoreKeys.member()).empty(); });
  clients.wait_for_responses(50);
  for (auto& manager : managers) manager->link.refuse(false);
  wait_for_new_leader(old);
  wait_for_fleet(3);
  clients.stop();
  CHECK(clients.lost == 0);
  CHECK(clients.failed_sends == 0);
}

TEST_CASE_FIXTURE(ThreeManagers, "the fleet recovers from cut watches and compacted revisions") {
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return progress_revision(model); });
    server.with([](auto& model) { model.compact(); });
    for (auto& manager : managers) manager->link.close_all();
    server.wait([&](auto& model) { return progress_revision(model) > before; });
  }
  wait_for_fleet(3);
}

TEST_CASE_FIXTURE(
    ThreeManagers,
    "after the store is restored to an older state all processes log it and write nothing more") {
  const auto older_state = server.with([](auto& model) { return model.snapshot(); });
  // Newer revisions than the snapshot's, seen by all watchers.
  server.with([](auto& model) {
    for (int i = 0; i < 20; ++i)
      model.handle(net::now(),
                   store::Txn{{}, {store::Put{kStoreKeys.task_states() + "another", "", {}}}, {}});
  });
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return progress_revision(model); });
    server.wait([&](auto& model) { return progress_revision(model) > before; });
  }
  server.with([&](auto& model) { model = older_state; });
  for (std::size_t i = 0; i < 3; ++i)
    CHECK(program(i).wait_for_line("the store was restored from an older backup"));
  server.wait([](auto& model) {
    return list_keys(model, kStoreKeys.member()).empty();
  });  // their leases have expired
  CHECK(server.with([&](auto& model) {
    return load_share_table(model) == load_share_table(const_cast<StoreModel&>(older_state));
  }));
}

TEST_CASE("a foreign format and an unreadable record are logged and kept; clients are served") {
  FakeEngine engine(0, true);
  standin::StoreServer server;
  for (const auto& [key, words] :
       {std::pair{kStoreKeys.format(), "unsupported storage format under /yokestream/"},
        std::pair{kStoreKeys.task_state(coordination::FleetMember::kLoadShareTask),
                  "malformed record in the store: /yokestream/state/shares"}}) {
    server.with([&, &at = key](auto& model) {
      model = StoreModel();
      model.handle(net::now(), store::Txn{{}, {store::Put{at, "another program's", {}}}, {}});
    });
    Manager manager(server.endpoint(), engine.endpoint(), "n0");
    ClientPool clients(manager.program->client_endpoint(), 2);
    CHECK(manager.program->wait_for_line(words));
    clients.wait_for_responses(20);
    clients.stop();
    CHECK(clients.lost == 0);
    const std::string value = server.with([&, &at = key](auto& model) {
      return model.range({at, {}, 0})[0].value;
    });
    CHECK(value == "another program's");
  }
}

TEST_CASE("an invalid fleet setting is named in one message, with exit status 1") {
  TemporaryDirectory directory;
  for (const auto& [text, key] : {std::pair{R"({fleet: {on: true}})", "fleet.store"},
                                  std::pair{R"({fleet: {store: ["x"]}})", "fleet.store[0]"},
                                  std::pair{R"({fleet: {lease_ms: 1}})", "fleet.lease_ms"},
                                  std::pair{R"({fleet: {leese: 1}})", "fleet.leese"},
                                  std::pair{R"({fleet: {prefix: "a/"}})", "fleet.prefix"},
                                  std::pair{R"({fleet: {ask_ms: 5000}})", "fleet.ask_ms"}}) {
    Program program(directory, config_text(), -1, {}, text);
    CHECK(program.wait_for_line(key));
    CHECK(program.wait_for_exit() == 1);
  }
}

}  // namespace
}  // namespace yokestream::test
