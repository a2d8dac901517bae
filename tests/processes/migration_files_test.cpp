// Concurrent plans, and operator files that change during a plan, on three processes.
#include "migrating_fleet.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(
    MigratingFleet,
    "an area moves by one plan at a time; conflicting plans are rejected, and later ones are admitted") {
  Clients clients(program(0).client_endpoint());
  clients.loads.wait_for_responses(10);
  propose(single_area_plan(1500));
  const auto move = [](int area, const char* from, const char* to) {
    return "{area: " + std::to_string(area) + ", from: '" + from + "', to: '" + to + "'}";
  };
  CHECK(run_fleet_command("propose", plan("second", 100, move(17, "old", "new")), 1).status == 0);
  CHECK(run_fleet_command("propose", plan("beside", 100, move(18, "old", "new")), 2).status == 0);
  wait_for_outcome("second");
  CHECK(outcome("second") == "turned down: area 17 is in plan south");
  CHECK(server.with([](StoreModel& model) { return migration_record(model).outcomes.count("south"); }) == 0);
  wait_for_outcome("beside");
  CHECK(outcome("beside") == "done");
  wait_for_outcome();
  CHECK(outcome() == "done");
  wait_for_loads_at_target();
  check_load_sides();  // of the first move; the next plan moves the area back
  CHECK(run_fleet_command("propose", plan("third", 100, move(17, "old", "new")), 1).status == 0);
  wait_for_outcome("third");
  CHECK(outcome("third") == "turned down: area 17 is at home at new");
  CHECK(run_fleet_command("propose", plan("fourth", 100, move(17, "new", "old")), 1).status == 0);
  wait_for_outcome("fourth");
  CHECK(outcome("fourth") == "done");
  const auto loads_at_source = [&] { return engine.request_log().with_id_prefix(kLoadIdPrefix).size(); };
  const auto before = loads_at_source();
  while (loads_at_source() == before) std::this_thread::yield();  // loads reach the old origin again
  clients.stop();
  CHECK(clients.loads.lost == 0);
}

TEST_CASE_FIXTURE(
    MigratingFleet,
    "a plan continues when a changed or an invalid operator file is reloaded, and the log reports it") {
  Clients clients(program(0).client_endpoint());
  clients.loads.wait_for_responses(10);
  propose(single_area_plan(1000));
  const auto reload = [&](const std::string& text, const std::string& expected_line) {
    for (std::size_t i = 0; i < 3; ++i) {
      std::ofstream(program(i).operator_file()) << text;
      program(i).send_signal(SIGHUP);
      CHECK(program(i).wait_for_line(expected_line));
    }
  };
  const std::string fleet_of = R"({fleet: {on: true, store: [")" + to_string(server.endpoint()) + "\"]";
  reload(fleet_of + ", areas: [18]}}", "fleet: it stays as it was until a restart");
  reload(fleet_of + ", areas: 'all'}}", "the new configuration is not taken: fleet.areas");
  wait_for_outcome();
  CHECK(outcome() == "done");
  check_completed(clients);
}

}  // namespace
}  // namespace yokestream::test
