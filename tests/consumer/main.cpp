// A program that embeds the library: one engine, one query, served.
#include <yokestream/policy/admission_controller.h>

#include <cstdio>
#include <variant>

using namespace yokestream::policy;
using namespace std::chrono_literals;

int main() {
  Settings settings;
  settings.classes.push_back({});
  settings.classes[0].latency_objective = 1s;
  settings.classes[0].deadline = 5s;
  settings.kinds = {{4, 0}};
  Time now{};
  AdmissionController controller(settings, 1, now);
  std::vector<Action> actions;
  controller.handle(now, EngineList{EngineListKind::full, {EngineEntry{.engine = {"one"}}}}, actions);
  QueryArrived query;
  query.query = QueryId{1};
  query.work = 10ms;
  query.time_left = 5s;
  controller.handle(now, query, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<Send>(&action)) {
      std::printf("send query 1 to %s\n", send->engine.name.c_str());
      controller.handle(
          now + 10ms,
          AttemptEnded{QueryId{1}, AttemptNumber{0}, send->engine, Outcome::served, 10ms, true, {}}, actions);
      return 0;
    }
  }
  std::puts("nothing was sent");
  return 1;
}
