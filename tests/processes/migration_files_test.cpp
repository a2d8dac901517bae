// Plans that meet other plans, and files that change under them, on three processes.
#include "moving.h"

namespace yokestream::test {
namespace {

TEST_CASE_FIXTURE(Moving,
                  "an area in three plans: one at a time, the others are turned down by name or come after") {
  Clients clients(program(0).serves_on());
  clients.loads.wait_for(10);
  propose(one_area(1500));
  const auto to = [](int area, const char* from, const char* there) {
    return "{area: " + std::to_string(area) + ", from: '" + from + "', to: '" + there + "'}";
  };
  CHECK(fleet("propose", plan("second", 100, to(17, "old", "new")), 1).status == 0);
  CHECK(fleet("propose", plan("beside", 100, to(18, "old", "new")), 2).status == 0);
  wait_for_end("second");
  CHECK(ended("second") == "turned down: area 17 is in plan south");
  CHECK(server.with([](StoreModel& model) { return record(model).outcomes.count("south"); }) == 0);
  wait_for_end("beside");
  CHECK(ended("beside") == "done");
  wait_for_end();
  CHECK(ended() == "done");
  wait_for_new_side();
  check_loads();  // so far; now back, by a plan of its own
  CHECK(fleet("propose", plan("third", 100, to(17, "old", "new")), 1).status == 0);
  wait_for_end("third");
  CHECK(ended("third") == "turned down: area 17 is at home at new");
  CHECK(fleet("propose", plan("fourth", 100, to(17, "new", "old")), 1).status == 0);
  wait_for_end("fourth");
  CHECK(ended("fourth") == "done");
  const auto came = [&] { return engine.request_log().with_id_prefix(kLoadIds).size(); };
  const auto before = came();
  while (came() == before) std::this_thread::yield();  // loads go to the old side again
  clients.finish();
  CHECK(clients.loads.lost == 0);
}

TEST_CASE_FIXTURE(
    Moving,
    "a changed file and a bad one, taken in during a plan: it goes on as it was, and the log says so") {
  Clients clients(program(0).serves_on());
  clients.loads.wait_for(10);
  propose(one_area(1000));
  const auto reload = [&](const std::string& text, const std::string& said) {
    for (std::size_t i = 0; i < 3; ++i) {
      std::ofstream(program(i).operator_file()) << text;
      program(i).tell(SIGHUP);
      CHECK(program(i).until(said));
    }
  };
  const std::string fleet_of = R"({fleet: {on: true, store: [")" + to_string(server.endpoint()) + "\"]";
  reload(fleet_of + ", areas: [18]}}", "fleet: it stays as it was until a restart");
  reload(fleet_of + ", areas: 'all'}}", "the new configuration is not taken: fleet.areas");
  wait_for_end();
  CHECK(ended() == "done");
  check_end(clients);
}

}  // namespace
}  // namespace yokestream::test
