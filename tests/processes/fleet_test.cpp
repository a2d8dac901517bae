// Several processes of the program round one store, with ways that fail between any two, stops, kills and
// restarts under the same name. Waits for what stands in the store; verdicts are on its history.
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
namespace {

using standin::Link;
using standin::StoreModel;

const duty::Names kNames("/yokestream");
const std::string kLine = kNames.line(duty::Fleet::kDuty);

std::vector<store::KeyValue> all(StoreModel& model, const std::string& prefix) {
  return model.range({prefix, store::after_prefix(prefix), 0});
}
std::vector<store::KeyValue> line(StoreModel& model) {  // the owner first
  auto out = all(model, kLine);
  std::sort(out.begin(), out.end(), [](auto& a, auto& b) { return a.create < b.create; });
  return out;
}
std::optional<duty::Table> table(StoreModel& model) {
  const auto found = model.range({kNames.state(duty::Fleet::kDuty), {}, 0});
  return found.empty() ? std::nullopt : duty::decode_table(found[0].value);
}
std::optional<store::Revision> beaten(StoreModel& model) {
  const auto found = model.range({kNames.beat(duty::Fleet::kDuty), {}, 0});
  return found.empty() ? std::nullopt : std::optional(found[0].mod);
}

struct Manager {
  Manager(const config::Endpoint& store, const config::Endpoint& engine, const std::string& name)
      : link(store), text(config_text("127.0.0.1:0", to_string(engine)).replace(9, 1, name)) {
    text.insert(text.find("\"Classes\""), "\"GroupSize\":3,");
    start();
  }
  void start() {
    program.reset();
    program = std::make_unique<Program>(folder, text, -1, std::map<std::string, std::string>{},
                                        R"({fleet: {on: true, lease_ms: 2000, ask_ms: 300, look_ms: 300,
                                            progress_ms: 4000, store: [")" +
                                            to_string(link.endpoint()) + R"("]}})");
  }
  Folder folder;
  Link link;  // its way to the store
  std::string text;
  std::unique_ptr<Program> program;
};

struct Fleet {
  Fleet() {
    for (const char* name : {"n0", "n1", "n2"})
      managers.push_back(std::make_unique<Manager>(server.endpoint(), engine.at(), name));
    wait_for_all(3);
  }
  // What stands in the store, replayed against the rules.
  ~Fleet() {
    managers.clear();
    standin::DutyChecker checker("/yokestream", 3);
    for (const auto& change : server.with([](auto& model) { return model.history(); })) checker.take(change);
    CHECK(checker.broken() == "");
  }
  // One owner that acts, and so many sessions with a part in its table.
  void wait_for_all(std::size_t count) {
    server.wait([&](StoreModel& model) {
      const auto now_there = table(model);
      return line(model).size() == count && now_there && now_there->parts.size() == count &&
             now_there->term == line(model)[0].create;
    });
  }
  std::size_t owner() {  // by its name, which its key holds
    const auto name = server.with([](auto& model) { return line(model)[0].value; });
    return static_cast<std::size_t>(name.back() - '0');
  }
  store::Revision term() {
    return server.with([](auto& model) { return line(model)[0].create; });
  }
  // Another owner than that of this term, and it has done something.
  void wait_for_next(store::Revision old) {
    server.wait([&](StoreModel& model) {
      const auto now_there = line(model);
      return !now_there.empty() && now_there[0].create > old && beaten(model) > now_there[0].create;
    });
  }
  Program& program(std::size_t i) { return *managers[i]->program; }
  Link& link(std::size_t i) { return managers[i]->link; }

  Fickle engine{0, true};
  standin::StoreServer server;
  std::vector<std::unique_ptr<Manager>> managers;
};

TEST_CASE_FIXTURE(Fleet,
                  "a killed owner is followed by another one, and comes back behind it under its name") {
  const auto old = term();
  const auto first = owner();
  program(first).tell(SIGKILL);
  program(first).ended();
  managers[first]->start();  // while its old session lives
  wait_for_next(old);
  wait_for_all(3);
  CHECK(owner() != first);
}

TEST_CASE_FIXTURE(
    Fleet, "an owner stopped past its lease, with a transaction on the way, does no harm when let go") {
  const auto old = term();
  const auto first = owner();
  link(first).there(Link::Way::hold);  // it goes on writing into a way that holds all back
  while (link(first).held_there() == 0) std::this_thread::yield();
  program(first).tell(SIGSTOP);
  wait_for_next(old);
  link(first).there(Link::Way::pass);
  program(first).tell(SIGCONT);
  wait_for_all(3);
  CHECK(owner() != first);
  CHECK(program(first).until("owns the duty shares no more"));
}

TEST_CASE_FIXTURE(Fleet, "two old owners that wake at once stand again behind the third") {
  auto old = term();
  const auto first = owner();
  program(first).tell(SIGSTOP);
  wait_for_next(old);
  old = term();
  const auto second = owner();
  program(second).tell(SIGSTOP);
  wait_for_next(old);
  const auto third = owner();
  program(first).tell(SIGCONT), program(second).tell(SIGCONT);
  wait_for_all(3);
  CHECK(owner() == third);
}

TEST_CASE_FIXTURE(Fleet, "an owner that is told to end hands over before its lease is over, and ends well") {
  const auto old = term();
  const auto first = owner();
  program(first).tell(SIGTERM);
  wait_for_next(old);
  // its lease was given back: no session of it is left, though the lease had time to run
  server.wait([&](StoreModel& model) { return all(model, kNames.alive()).size() == 2; });
  CHECK(program(first).ended() == 0);
  wait_for_all(2);
}

TEST_CASE_FIXTURE(Fleet,
                  "the way to the store open one way only: the process counts on less, another one owns") {
  for (const bool there : {true, false}) {
    const auto old = term();
    const auto first = owner();
    if (there)
      link(first).back(Link::Way::lose);
    else
      link(first).there(Link::Way::lose);
    wait_for_next(old);
    link(first).back(Link::Way::pass), link(first).there(Link::Way::pass);
    wait_for_all(3);
  }
}

// Whose transaction it is shows in what it puts or deletes.
bool enters(const store::Txn& txn) {
  return std::any_of(txn.then.begin(), txn.then.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key.starts_with(kLine);
  });
}
bool publishes(const store::Txn& txn) {
  return std::any_of(txn.then.begin(), txn.then.end(), [](const auto& op) {
    const auto* put = std::get_if<store::Put>(&op);
    return put && put->key == kNames.state(duty::Fleet::kDuty);
  });
}
bool releases(const store::Txn& txn) {
  const auto* del = txn.then.empty() ? nullptr : std::get_if<store::Delete>(&txn.then[0]);
  return del && del->key.starts_with(kLine);
}

TEST_CASE_FIXTURE(Fleet, "a reply lost after the commit of an election, of a table, of a release") {
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

TEST_CASE_FIXTURE(Fleet,
                  "the store away past all leases: clients are served on, then there is one owner again") {
  Crowd crowd(program(0).serves_on(), 3);
  crowd.wait_for(20);
  const auto old = term();
  for (auto& manager : managers) manager->link.refuse(true), manager->link.close_all();
  server.wait([](auto& model) { return all(model, kNames.alive()).empty(); });
  crowd.wait_for(50);
  for (auto& manager : managers) manager->link.refuse(false);
  wait_for_next(old);
  wait_for_all(3);
  crowd.finish();
  CHECK(crowd.lost == 0);
  CHECK(crowd.turned_back == 0);
}

TEST_CASE_FIXTURE(Fleet, "watches cut and compacted under the processes") {
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return beaten(model); });
    server.with([](auto& model) { model.compact(); });
    for (auto& manager : managers) manager->link.close_all();
    server.wait([&](auto& model) { return beaten(model) > before; });
  }
  wait_for_all(3);
}

TEST_CASE_FIXTURE(Fleet, "a store set back to an older state: all say so, and nothing more is written") {
  const auto then = server.with([](auto& model) { return model.snapshot(); });
  // newer than that, and heard of by all that watch
  server.with([](auto& model) {
    for (int i = 0; i < 20; ++i)
      model.handle(net::now(), store::Txn{{}, {store::Put{kNames.states() + "another", "", {}}}, {}});
  });
  for (int i = 0; i < 5; ++i) {
    const auto before = server.with([](auto& model) { return beaten(model); });
    server.wait([&](auto& model) { return beaten(model) > before; });
  }
  server.with([&](auto& model) { model = then; });
  for (std::size_t i = 0; i < 3; ++i) CHECK(program(i).until("the store was set back to an older state"));
  server.wait([](auto& model) { return all(model, kNames.alive()).empty(); });  // their leases have ended
  CHECK(server.with([&](auto& model) { return table(model) == table(const_cast<StoreModel&>(then)); }));
}

TEST_CASE("a foreign form and an unreadable record are told and left alone; clients are served") {
  Fickle engine(0, true);
  standin::StoreServer server;
  for (const auto& [key, words] :
       {std::pair{kNames.format(), "the store holds another form under /yokestream/"},
        std::pair{kNames.state(duty::Fleet::kDuty),
                  "the store's record /yokestream/state/shares can't be read"}}) {
    server.with([&, &at = key](auto& model) {
      model = StoreModel();
      model.handle(net::now(), store::Txn{{}, {store::Put{at, "another program's", {}}}, {}});
    });
    Manager manager(server.endpoint(), engine.at(), "n0");
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
