// Owners, terms, shares and acknowledgements on the virtual clock: single situations.
#include "duty_fixture.h"

namespace yokestream::test {
namespace {

using coordination::FleetMember;
TEST_CASE("three processes have one owner, one table and parts by their traffic") {
  DutyWorld world(calm());
  world.at(5s, [&] { world.traffic(0, 60); });
  world.at(5s, [&] { world.traffic(1, 20); });
  world.at(5s, [&] { world.traffic(2, 10); });
  world.run(200s);
  well(world);
  REQUIRE(world.owner().has_value());
  CHECK(world.part(0) > 0.45);
  CHECK(world.part(1) < world.part(0));
  CHECK(world.part(2) < world.part(1));
  CHECK(world.part(2) >= 1.0 / 6 - 1e-6);  // nobody has less than half of its even part
  CHECK(world.part(0) + world.part(1) + world.part(2) <= 1 + 1e-9);
}

TEST_CASE("a killed owner is followed within its lease and a second, one after another") {
  DutyWorld world(calm(5));
  for (int i = 0; i < 4; ++i) world.at(30s + 30s * i, [&] { world.kill(*world.owner()); });
  world.run(160s);
  well(world);
  REQUIRE(world.figures().vacancies.size() == 4);
  for (const double vacancy : world.figures().vacancies) CHECK(vacancy <= 6 * 1.01 + 1);
  CHECK(world.owner().has_value());
}

TEST_CASE("an owner that is told to end hands over at once") {
  DutyWorld world(calm());
  std::size_t old = 9;
  world.at(30s, [&] { world.leave(old = *world.owner()); });
  world.run(32s);
  well(world);
  REQUIRE(world.owner().has_value());
  CHECK(*world.owner() != old);
  CHECK(world.fleet(old).has_left());
  CHECK(world.store().range(line()).size() == 2);
  REQUIRE(world.figures().vacancies.size() == 1);
  CHECK(world.figures().vacancies[0] < 1);
}

TEST_CASE("an owner stopped past its lease does no harm when it goes on, nor do two") {
  DutyWorld world(calm(4));
  std::size_t first = 9, second = 9;
  world.at(30s, [&] { world.stop(first = *world.owner()); });
  world.at(50s, [&] { world.stop(second = *world.owner()); });
  world.at(80s, [&] { world.go_on(first), world.go_on(second); });
  world.run(120s);
  well(world);
  CHECK(first != second);
  REQUIRE(world.owner().has_value());
  CHECK(*world.owner() != first);
  CHECK(*world.owner() != second);
  CHECK(world.store().range(line()).size() == 4);  // both stand again, behind
}

TEST_CASE("an owner that is alive and does nothing loses the duty, and stands again") {
  auto settings = calm();
  settings.duty.inspection_interval = 1000s;  // it never looks, so it shows no progress after its first
  DutyWorld world(settings);
  std::size_t first = 9;
  world.at(10s, [&] { first = *world.owner(); });
  world.run(60s);
  well(world);
  std::set<store::Revision> terms;
  for (const auto& change : world.store().history())
    if (change.event.key_value.key == "/yokestream/duty/shares/beat")
      terms.insert(change.event.key_value.mod_revision);
  CHECK(terms.size() >= 3);  // owners since, each with a sign of its own
  CHECK(world.store().range(line()).size() == 3);
}

TEST_CASE("cut off either way, a process stops counting on its part before its lease ends at the store") {
  for (const bool there : {false, true}) {
    DutyWorld world(calm());
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
    well(world);
    // a way that only replies do not come back on still renews the lease at the store
    CHECK(gone == !there);
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
    world.cut(0, true, true);
    world.run(300s);
    CHECK(world.part(0) > 0.4);
    well(world);
  }
}

TEST_CASE(
    "the store away for 8 s and for 60 s: nobody counts on more than its even part, then all is as before") {
  for (const auto away : {8s, 60s}) {
    DutyWorld world(calm(10));
    world.at(5s, [&] { world.traffic(3, 60); });
    world.at(200s, [&] { world.away(true); });
    world.at(207s, [&] { CHECK(world.part(3) <= 0.1 + 1e-9); });
    world.at(200s + away, [&] { world.away(false); });
    world.run(500s);
    well(world);
    CHECK(world.owner().has_value());
    CHECK(world.part(3) > 0.15);
  }
}

TEST_CASE("after an outage no second has over a twentieth of 300 processes come back") {
  DutyWorld world(calm(300));
  world.at(60s, [&] { world.away(true); });
  world.at(120s, [&] { world.away(false); });
  world.run(240s);
  well(world);
  std::size_t most = 0, all = 0;
  for (const auto& [second, grants] : world.figures().grants_by_second)
    if (second >= 120) most = std::max(most, grants), all += grants;
  CHECK(all >= 290);
  CHECK(most <= 15);  // a twentieth
}

TEST_CASE("a store that was set back, a foreign form, an unreadable record: told, left alone") {
  SUBCASE("set back") {
    DutyWorld world(calm());
    std::optional<standin::StoreModel> then;
    world.at(20s, [&] { then = world.store(); });
    world.at(60s, [&] { world.store() = *then; });
    world.run(90s);
    for (std::size_t p = 0; p < 3; ++p)
      CHECK(world.fleet(p).fault() == "the store was set back to an older state");
    CHECK(world.part(0) <= 1.0 / 3 + 1e-9);
  }
  SUBCASE("a foreign form") {
    DutyWorld world(calm());
    world.store().handle(Time(Duration(1000s)),
                         store::Txn{{}, {store::Put{"/yokestream/format", "2", {}}}, {}});
    world.run(20s);
    CHECK(world.fleet(0).fault() == "the store holds another form under /yokestream/");
    CHECK(world.store().range(line()).empty());
  }
  SUBCASE("an unreadable record") {
    DutyWorld world(calm());
    const store::Put spoilt{"/yokestream/state/shares", "{\"form\":2}", {}};
    world.store().handle(Time(Duration(1000s)), store::Txn{{}, {spoilt}, {}});
    world.run(60s);
    CHECK(world.fleet(1).fault() == "the store's record /yokestream/state/shares can't be read");
    CHECK(world.store().range({spoilt.key, {}, 0})[0].value == spoilt.value);
  }
}

TEST_CASE("compaction under the watches, and a process started again while its old session lives") {
  DutyWorld world(calm());
  world.at(20s, [&] { world.traffic(1, 50); });
  for (int i = 0; i < 20; ++i) world.at(21s + 3s * i, [&] { world.store().compact(); });
  world.at(40s, [&] { world.kill(1), world.start(1); });
  world.at(42s, [&] { CHECK(world.store().range(line()).size() == 4); });
  world.run(200s);
  well(world);
  CHECK(world.store().range(line()).size() == 3);
  CHECK(world.part(1) > 0.4);
}

}  // namespace
}  // namespace yokestream::test
