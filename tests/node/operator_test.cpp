// The operator file: what is wrong is named with its path, what is not told has a default and says so.
#include <doctest/doctest.h>

#include "cli/log.h"
#include "helper.h"
#include "operator/operator_file.h"

namespace yokestream::test {
namespace {

using operator_file::decode;

const config::Config& platform() {
  static const config::Config config = config::decode_config(config_text());
  return config;
}

TEST_CASE("what is unknown, of the wrong type or out of range is named with its path") {
  const std::pair<const char*, const char*> cases[] = {
      {R"({"dor":{}})", "dor"},
      {R"({"door":{"onn":true}})", "door.onn"},
      {R"({"door":{"on":1}})", "door.on"},
      {R"({"door":{"waiting":0}})", "door.waiting"},
      {R"({"door":{"waiting":1.5}})", "door.waiting"},
      {R"({"door":{"reserve":0.9}})", "door.reserve"},
      {R"({"door":{"most_hint_ms":-1}})", "door.most_hint_ms"},
      {R"({"door":{"weights":{"acme":0}}})", "door.weights.acme"},
      {R"({"door":{"weights":{"nobody":1}}})", "door.weights.nobody"},
      {R"({"door":[]})", "door"},
      {R"({"log":{"format":"xml"}})", "log.format"},
      {R"([])", "operator file"},
      {R"({"queues":{"age_ms":1}})", "queues.age_ms"},
      {R"({"queues":{"teams":[]}})", "queues.teams"},
      {R"({"queues":{"teams":{"a":{"owners":["nobody"]}}}})", "queues.teams.a.owners[0]"},
      {R"({"queues":{"teams":{"a":{"owners":["acme"]},"b":{"owners":["acme"]}}}})",
       "queues.teams.b.owners[0]"},
      {R"({"queues":{"teams":{"a":{"budget_s":-1}}}})", "queues.teams.a.budget_s"},
      {R"({"queues":{"teams":{"a":{"floor":0.6,"ceiling":0.5}}}})", "queues.teams.a.floor"},
      {R"({"queues":{"teams":{"a":{"levels":{"look":4}}}}})", "queues.teams.a.levels.look"},
      {R"({"queues":{"teams":{"a":{"levels":{"nothing":1}}}}})", "queues.teams.a.levels.nothing"},
      {R"({"queues":{"teams":{"a":{"group":"g"}}}})", "queues.teams.a.group"},
      {R"({"queues":{"teams":{"a":{"group":"g"},"g":{"owners":["acme"]}}}})", "queues.teams.a.group"},
  };
  for (const auto& [text, key] : cases) {
    const std::string file = text;
    CAPTURE(file);
    try {
      decode(text, platform());
      FAIL("taken");
    } catch (const config::ConfigError& problem) {
      CHECK(problem.key() == key);
    }
  }
}

TEST_CASE("each value says where it came from; shares are the weights where none are told") {
  const auto told = decode(R"({"door":{"on":true,"most_wait_ms":250}})", platform());
  CHECK(told.door.on);
  CHECK((told.door.max_wait == 250ms));
  CHECK((told.door.max_retry_after == 2s));  // the platform's clients heed no longer advice
  REQUIRE(told.door.weights.size() == 1);
  CHECK(told.door.weights[0] == 1);
  std::map<std::string, std::string> origins;
  for (const auto& value : told.values) origins[value.path] = value.origin;
  CHECK(origins.at("door.on") == "operator file");
  CHECK(origins.at("door.places") == "default");
  CHECK(origins.at("door.weights.acme") == "platform file");
  CHECK_FALSE(operator_file::defaults(platform()).door.on);
}

TEST_CASE(
    "teams: each owner is one where none is told; groups have what their teams have; the rest has a team") {
  const auto none = decode(R"({"queues":{"on":true}})", platform());
  REQUIRE(none.queues.teams.size() == 2);
  CHECK(none.queues.teams[0].name == "rest");
  CHECK(none.queues.teams[1].name == "acme");
  CHECK(none.queues.team_of == std::vector<std::size_t>{1});
  CHECK(none.queues.teams[1].share == 1);
  const auto told = decode(
      R"({"queues":{"teams":{"g":{},"t":{"group":"g","owners":["acme"],"budget_s":30,"levels":{"load":3}}}}})",
      platform());
  REQUIRE(told.queues.teams.size() == 3);
  CHECK(told.queues.teams[1].share == 1);
  CHECK(told.queues.teams[2].budget_s == 30);
  CHECK(told.queues.teams[2].level_by_class == std::vector<unsigned>{1, 3});
  CHECK(told.queues.team_of == std::vector<std::size_t>{2});
  const auto rest = decode(R"({"queues":{"teams":{}}})", platform());
  CHECK(rest.queues.team_of == std::vector<std::size_t>{0});
  CHECK(rest.queues.teams[0].share == 1);
}

TEST_CASE("lines that differ in figures and names only are of one kind") {
  using cli::Log;
  CHECK(Log::kind_of("the core took 12 ms for 3 events") == Log::kind_of("the core took 7 ms for 1 events"));
  CHECK(Log::kind_of("a client connection is closed: x") == Log::kind_of("a client connection is closed: y"));
  CHECK(Log::kind_of("told to end") != Log::kind_of("ended"));
}

}  // namespace
}  // namespace yokestream::test
