// Leader election, fencing tokens, load shares and acknowledgements on the virtual clock, one scenario per
// test.
#include "coordination_fixture.h"

namespace yokestream::test {
namespace {

using coordination::FleetMember;

constexpr std::size_t kNoProcess = 9;  // not the index of a process

TEST_CASE("three processes elect one leader and get larger shares for more traffic") {
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
  CHECK(world.part(2) >= 1.0 / 6 - 1e-6);  // at least half of the even share
  CHECK(world.part(0) + world.part(1) + world.part(2) <= 1 + 1e-9);
}

// Failure: the leader is killed, and so is each of its successors.
// Expected: its candidate key is removed when its lease expires, and the next candidate leads within 1 s.
TEST_CASE("a killed leader is replaced within 1 s of the end of its lease, four times in a row") {
  DutyWorld world(fault_free_settings(5));
  for (int i = 0; i < 4; ++i) world.at(30s + 30s * i, [&] { world.kill(*world.owner()); });
  world.run(160s);
  no_violation(world);
  REQUIRE(world.figures().vacancies.size() == 4);
  constexpr double kMaxVacancyS = 6 * 1.01 + 1;  // a lease of 6 s, a clock drift of 1 %, and 1 s
  for (const double vacancy : world.figures().vacancies) CHECK(vacancy <= kMaxVacancyS);
  CHECK(world.owner().has_value());
}

TEST_CASE("a leader that shuts down gracefully is replaced within 1 s") {
  DutyWorld world(fault_free_settings());
  std::size_t former = kNoProcess;
  world.at(30s, [&] { world.leave(former = *world.owner()); });
  world.run(32s);
  no_violation(world);
  REQUIRE(world.owner().has_value());
  CHECK(*world.owner() != former);
  CHECK(world.fleet(former).has_left());
  CHECK(world.store().range(candidates_range()).size() == 2);
  REQUIRE(world.figures().vacancies.size() == 1);
  CHECK(world.figures().vacancies[0] < 1);
}

// Failure: two leaders are paused, one after the other, for longer than their leases, and then resume.
// Expected: a third process leads meanwhile, and the fencing tokens reject the writes of the former leaders.
TEST_CASE("writes of leaders that were paused past their lease are rejected when they resume") {
  DutyWorld world(fault_free_settings(4));
  std::size_t first = kNoProcess, second = kNoProcess;
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
  CHECK(world.store().range(candidates_range()).size() == 4);  // both are candidates again, behind the others
}

// Failure: a leader renews its lease but makes no progress.
// Expected: its successor removes it after the progress timeout, and it joins again as the last candidate.
TEST_CASE("a live leader that makes no progress is removed and becomes a candidate again") {
  auto settings = fault_free_settings();
  settings.duty.inspection_interval = 1000s;  // no inspection, and so no progress, after the first
  DutyWorld world(settings);
  std::size_t first = kNoProcess;
  world.at(10s, [&] { first = *world.owner(); });
  world.run(60s);
  no_violation(world);
  std::set<store::Revision> progress_revisions;
  for (const auto& change : world.store().history())
    if (change.event.key_value.key == "/yokestream/duty/shares/beat")
      progress_revisions.insert(change.event.key_value.mod_revision);
  CHECK(progress_revisions.size() >= 3);  // one write of progress by each leader
  CHECK(world.store().range(candidates_range()).size() == 3);
}

// Failure: the requests of a process to the store are lost, or the replies to it.
// Expected: by its own clock the process falls back to its even share before others may use the rest.
TEST_CASE("a process cut off in either direction gives up its share before its lease ends at the store") {
  for (const bool requests_delivered : {false, true}) {
    DutyWorld world(fault_free_settings());
    world.at(5s, [&] { world.traffic(0, 60); });
    world.at(100s, [&] { world.cut(0, requests_delivered, !requests_delivered); });
    bool lease_ended = false;
    world.at(100s, [&] { CHECK(world.part(0) > 0.4); });
    for (int ms = 0; ms < 10000; ms += 20) {
      world.at(100s + Duration(1ms) * ms, [&] {
        const auto member_key = coordination::StoreKeys("/yokestream").member(world.fleet(0).session_lease());
        lease_ended = lease_ended || world.store().range({member_key, {}, 0}).empty();
        if (lease_ended) CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
      });
    }
    world.run(200s);
    no_violation(world);
    // If only the replies are lost, the renewals still reach the store.
    CHECK(lease_ended == !requests_delivered);
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
    world.cut(0, true, true);
    world.run(300s);
    CHECK(world.part(0) > 0.4);
    no_violation(world);
  }
}

// Failure: the store is unavailable for longer than a lease.
// Expected: every process falls back to at most its even share, and shares follow traffic again afterwards.
TEST_CASE("no process exceeds its even share during a store outage of 8 s or 60 s, and shares recover") {
  for (const auto outage : {8s, 60s}) {
    DutyWorld world(fault_free_settings(10));
    world.at(5s, [&] { world.traffic(3, 60); });
    world.at(200s, [&] { world.away(true); });
    world.at(207s, [&] { CHECK(world.part(3) <= 0.1 + 1e-9); });
    world.at(200s + outage, [&] { world.away(false); });
    world.run(500s);
    no_violation(world);
    CHECK(world.owner().has_value());
    CHECK(world.part(3) > 0.15);
  }
}

// Failure: the store recovers after a minute, and 300 processes reconnect to it at once.
// Expected: random backoff spreads the reconnects, so that at most 15 happen within any second.
TEST_CASE("at most a twentieth of 300 processes reconnect in any second after an outage") {
  DutyWorld world(fault_free_settings(300));
  world.at(60s, [&] { world.away(true); });
  world.at(120s, [&] { world.away(false); });
  world.run(240s);
  no_violation(world);
  std::size_t max_per_second = 0;
  std::size_t total = 0;
  for (const auto& [second, grants] : world.figures().grants_by_second)
    if (second >= 120) {
      max_per_second = std::max(max_per_second, grants);
      total += grants;
    }
  CHECK(total >= 290);
  CHECK(max_per_second <= 15);  // a twentieth of 300
}

// Failure: the store is restored from an old backup, or holds data that this program does not support.
// Expected: every member stops and reports the fault, uses at most its even share and overwrites nothing.
TEST_CASE("a restored store, an unsupported format or a malformed record is reported, not overwritten") {
  SUBCASE("restored store") {
    DutyWorld world(fault_free_settings());
    std::optional<standin::StoreModel> backup;
    world.at(20s, [&] { backup = world.store(); });
    world.at(60s, [&] { world.store() = *backup; });
    world.run(90s);
    for (std::size_t p = 0; p < 3; ++p)
      CHECK(world.fleet(p).fault() == "the store was restored from an older backup");
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
  }
  SUBCASE("unsupported format") {
    DutyWorld world(fault_free_settings());
    world.store().handle(Time(Duration(1000s)),
                         store::Txn{{}, {store::Put{"/yokestream/format", "2", {}}}, {}});
    world.run(20s);
    CHECK(world.fleet(0).fault() == "unsupported storage format under /yokestream/");
    CHECK(world.store().range(candidates_range()).empty());
  }
  SUBCASE("malformed record") {
    DutyWorld world(fault_free_settings());
    const store::Put malformed{"/yokestream/state/shares", "{\"form\":2}", {}};
    world.store().handle(Time(Duration(1000s)), store::Txn{{}, {malformed}, {}});
    world.run(60s);
    CHECK(world.fleet(1).fault() == "malformed record in the store: /yokestream/state/shares");
    CHECK(world.store().range({malformed.key, {}, 0})[0].value == malformed.value);
  }
}

// Failure: the store compacts revisions under open watches, and a process restarts before its old lease ends.
// Expected: views are loaded again, the old candidate is removed with its lease, and shares recover.
TEST_CASE("a fleet recovers from compaction and from a process restarted before its old session ends") {
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
