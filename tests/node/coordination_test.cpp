// Leaders, fencing tokens, load shares and acknowledgements on the virtual clock: single situations.
#include "coordination_fixture.h"

namespace yokestream::test {
namespace {

using coordination::FleetMember;

TEST_CASE("three processes have one leader, one table and shares by their traffic") {
  DutyWorld world(fault_free_settings());
  world.at(5s, [&] { world.traffic(0, 60); });
  world.at(5s, [&] { world.traffic(1, 20); });
  world.at(5s, [&] { world.traffic(2, 10); });
  world.run(200s);
  no_violation(world);
  REQUIRE(world.owner().has_value());
  CHECK(world.part(0) > 0.45);
  CHECK(world.part(1) < world.part(0));
  CHECK(world.part(2) < world.part(1));
  CHECK(world.part(2) >= 1.0 / 6 - 1e-6);  // nobody has less than half of its even share
  CHECK(world.part(0) + world.part(1) + world.part(2) <= 1 + 1e-9);
}

// Failure: the leader is killed, and so is each leader that follows it.
// Expected: its candidate key ends with its lease, and the next candidate takes over within a second.
TEST_CASE("a killed leader is replaced within its lease and a second, four times in a row") {
  DutyWorld world(fault_free_settings(5));
  for (int i = 0; i < 4; ++i) world.at(30s + 30s * i, [&] { world.kill(*world.owner()); });
  world.run(160s);
  no_violation(world);
  REQUIRE(world.figures().vacancies.size() == 4);
  for (const double vacancy : world.figures().vacancies) CHECK(vacancy <= 6 * 1.01 + 1);
  CHECK(world.owner().has_value());
}

TEST_CASE("a leader that shuts down gracefully is replaced at once") {
  DutyWorld world(fault_free_settings());
  std::size_t old = 9;
  world.at(30s, [&] { world.leave(old = *world.owner()); });
  world.run(32s);
  no_violation(world);
  REQUIRE(world.owner().has_value());
  CHECK(*world.owner() != old);
  CHECK(world.fleet(old).has_left());
  CHECK(world.store().range(candidates_range()).size() == 2);
  REQUIRE(world.figures().vacancies.size() == 1);
  CHECK(world.figures().vacancies[0] < 1);
}

// Failure: two leaders are paused, one after the other, for longer than their leases, and then continue.
// Expected: a third process leads meanwhile, and the writes of the old ones are rejected by their tokens.
TEST_CASE("leaders paused past their lease do no harm when they continue") {
  DutyWorld world(fault_free_settings(4));
  std::size_t first = 9, second = 9;
  world.at(30s, [&] { world.stop(first = *world.owner()); });
  world.at(50s, [&] { world.stop(second = *world.owner()); });
  world.at(80s, [&] {
    world.go_on(first);
    world.go_on(second);
  });
  world.run(120s);
  no_violation(world);
  CHECK(first != second);
  REQUIRE(world.owner().has_value());
  CHECK(*world.owner() != first);
  CHECK(*world.owner() != second);
  CHECK(world.store().range(candidates_range()).size() == 4);  // both are candidates again, at the end
}

// Failure: a leader renews its lease but makes no progress.
// Expected: its successor removes it after the progress timeout; it joins again at the end.
TEST_CASE("a leader that is alive without progress is deposed and becomes a candidate again") {
  auto settings = fault_free_settings();
  settings.duty.inspection_interval = 1000s;  // no inspections, so no progress after the first
  DutyWorld world(settings);
  std::size_t first = 9;
  world.at(10s, [&] { first = *world.owner(); });
  world.run(60s);
  no_violation(world);
  std::set<store::Revision> terms;
  for (const auto& change : world.store().history())
    if (change.event.key_value.key == "/yokestream/duty/shares/beat")
      terms.insert(change.event.key_value.mod_revision);
  CHECK(terms.size() >= 3);  // one sign of progress of each leader
  CHECK(world.store().range(candidates_range()).size() == 3);
}

// Failure: a process loses the requests to the store, or the replies from it.
// Expected: by its own clock it falls back to its even share before others may use the rest.
TEST_CASE("a partitioned process drops its share before its lease ends at the store, in either direction") {
  for (const bool there : {false, true}) {
    DutyWorld world(fault_free_settings());
    world.at(5s, [&] { world.traffic(0, 60); });
    world.at(100s, [&] { world.cut(0, there, !there); });
    bool gone = false;
    world.at(100s, [&] { CHECK(world.part(0) > 0.4); });
    for (int ms = 0; ms < 10000; ms += 20) {
      world.at(100s + Duration(1ms) * ms, [&] {
        const auto alive = coordination::StoreKeys("/yokestream").member(world.fleet(0).session_lease());
        gone = gone || world.store().range({alive, {}, 0}).empty();
        if (gone) CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
      });
    }
    world.run(200s);
    no_violation(world);
    // where only the replies are lost, the renewals still reach the store
    CHECK(gone == !there);
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
    world.cut(0, true, true);
    world.run(300s);
    CHECK(world.part(0) > 0.4);
    no_violation(world);
  }
}

// Failure: the store is unavailable for longer than a lease.
// Expected: every process falls back to at most its even share; afterwards shares follow traffic again.
TEST_CASE("during an outage of 8 s or 60 s nobody exceeds its even share, and all recover afterwards") {
  for (const auto away : {8s, 60s}) {
    DutyWorld world(fault_free_settings(10));
    world.at(5s, [&] { world.traffic(3, 60); });
    world.at(200s, [&] { world.away(true); });
    world.at(207s, [&] { CHECK(world.part(3) <= 0.1 + 1e-9); });
    world.at(200s + away, [&] { world.away(false); });
    world.run(500s);
    no_violation(world);
    CHECK(world.owner().has_value());
    CHECK(world.part(3) > 0.15);
  }
}

// Failure: the store recovers after a minute, with 300 processes waiting for it.
// Expected: their reconnects are spread, so no second sees more than 15 of them.
TEST_CASE("after an outage at most a twentieth of 300 processes reconnect in any second") {
  DutyWorld world(fault_free_settings(300));
  world.at(60s, [&] { world.away(true); });
  world.at(120s, [&] { world.away(false); });
  world.run(240s);
  no_violation(world);
  std::size_t most = 0;
  std::size_t all = 0;
  for (const auto& [second, grants] : world.figures().grants_by_second)
    if (second >= 120) {
      most = std::max(most, grants);
      all += grants;
    }
  CHECK(all >= 290);
  CHECK(most <= 15);  // a twentieth
}

// Failure: the store is restored from an old backup, or holds data that this program does not understand.
// Expected: every member stops with a fault that names it, keeps its even share and writes nothing.
TEST_CASE("a restored store, an unknown form or a malformed record is reported and never overwritten") {
  SUBCASE("restored store") {
    DutyWorld world(fault_free_settings());
    std::optional<standin::StoreModel> then;
    world.at(20s, [&] { then = world.store(); });
    world.at(60s, [&] { world.store() = *then; });
    world.run(90s);
    for (std::size_t p = 0; p < 3; ++p)
      CHECK(world.fleet(p).fault() == "the store was set back to an older state");
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
  }
  SUBCASE("unknown form") {
    DutyWorld world(fault_free_settings());
    world.store().handle(Time(Duration(1000s)),
                         store::Txn{{}, {store::Put{"/yokestream/format", "2", {}}}, {}});
    world.run(20s);
    CHECK(world.fleet(0).fault() == "the store holds another form under /yokestream/");
    CHECK(world.store().range(candidates_range()).empty());
  }
  SUBCASE("malformed record") {
    DutyWorld world(fault_free_settings());
    const store::Put spoilt{"/yokestream/state/shares", "{\"form\":2}", {}};
    world.store().handle(Time(Duration(1000s)), store::Txn{{}, {spoilt}, {}});
    world.run(60s);
    CHECK(world.fleet(1).fault() == "the store's record /yokestream/state/shares can't be read");
    CHECK(world.store().range({spoilt.key, {}, 0})[0].value == spoilt.value);
  }
}

// Failure: the store compacts under open watches, and a process restarts before its old lease has ended.
// Expected: views are loaded again; the old candidate leaves with its lease, and shares recover.
TEST_CASE("watches survive compaction, and a restarted process survives its old session") {
  DutyWorld world(fault_free_settings());
  world.at(20s, [&] { world.traffic(1, 50); });
  for (int i = 0; i < 20; ++i) world.at(21s + 3s * i, [&] { world.store().compact(); });
  world.at(40s, [&] {
    world.kill(1);
    world.start(1);
  });
  world.at(42s, [&] { CHECK(world.store().range(candidates_range()).size() == 4); });
  world.run(200s);
  no_violation(world);
  CHECK(world.store().range(candidates_range()).size() == 3);
  CHECK(world.part(1) > 0.4);
}

}  // namespace
}  // namespace yokestream::test
