#include <doctest/doctest.h>

#include <array>

#include "helper.h"

namespace yokestream::test {
namespace {

std::string changed(const std::string& from, const std::string& to) {
  std::string text = config_text();
  return text.replace(text.find(from), from.size(), to);
}

TEST_CASE("a good configuration is read, and nested settings mean what the wire's paths mean") {
  const auto config = config::decode_config(config_text());
  CHECK(config.seed == 0x2a);
  CHECK((config.settings.classes[1].idempotency == policy::Idempotency::non_idempotent));
  CHECK((config.settings.progress_interval == 2s));
  CHECK(config.real.streams_per_connection == 3);
  CHECK((config.real.report_fields == std::vector<std::string>{"queue", "inflight"}));
  CHECK(config.known[0].members[0].endpoint->port == 7001);
}

TEST_CASE("a bad configuration is refused with the key at fault") {
  const std::vector<std::array<std::string, 3>> cases{
      {R"("listen":"127.0.0.1:0")", R"("listen":"nowhere")", "listen"},
      {R"("seed":"2a")", R"("seed":"x")", "seed"},
      {R"("memory_mb":64)", R"("memory_mb":1)", "limits.memory_mb"},
      {R"("Deadline":4000000000)", R"("Deadline":"soon")", "settings.Classes.0.Deadline"},
      {R"("DialTimeout":250000000)", R"("DialTimeout":0)", "settings.Allowed.DialTimeout"},
      {R"("state":"up")", R"("state":"odd")", "known.events[0].members.targets[0].state"}};
  for (const auto& [from, to, key] : cases) {
    std::string at;
    try {
      config::decode_config(changed(from, to));
    } catch (const config::ConfigError& problem) {
      at = problem.key();
    }
    CHECK(at == key);
  }
}

TEST_CASE("an address belongs to who started last there, and a whole list ends what it does not name") {
  const auto config = config::decode_config(config_text());
  dispatch::EngineDirectory directory(config.real, [](std::int64_t ms) { return Time(Duration(ms)); });
  const Time now{1000s};
  directory.apply(now, config.known[0], true);
  const auto up = [&](const std::string& uid) { return directory.find_available(uid) != nullptr; };
  CHECK(up("e1"));
  const auto member = [](const std::string& uid, int boot) {
    return R"({"uid":")" + uid +
           R"(","endpoint":"127.0.0.1:7001","az":"z","model":"m","state":"up","boot_ms":)" +
           std::to_string(boot) + "}";
  };
  const auto event = [](const std::string& all, const std::string& members) {
    return config::decode_members(R"({"n":2,"members":{"all":)" + all + R"(,"targets":[)" + members + "]}}");
  };
  directory.apply(now, event("false", member("e2", 5) + "," + member("e1", 0)), false);
  CHECK_FALSE(up("e1"));
  CHECK(up("e2"));
  directory.apply(now, event("true", member("e1", 9)), false);
  CHECK(up("e1"));
  CHECK_FALSE(up("e2"));
  directory.forget_gone(now + 50s);
  CHECK(directory.known_count() == 2);
  directory.forget_gone(now + 61s);
  CHECK(directory.known_count() == 1);
  CHECK(up("e1"));
}

}  // namespace
}  // namespace yokestream::test
