// Starts of engines by a wall clock that is stepped by seconds or an hour, either way, at any moment.
#include <doctest/doctest.h>

#include "dispatch/engine_start_times.h"
#include "helper.h"

namespace yokestream::test {
namespace {

using dispatch::EngineStartTimes;

// The steady clock runs on; the wall clock is what it should be, and so much off.
struct Clocks {
  Time now{100000s};
  Duration off{};
  EngineStartTimes starts{[this](std::int64_t ms) { return Time(Duration(ms * 1000000)) - off; }};
  static std::int64_t wall_ms(Time time) { return time.time_since_epoch() / 1ms; }
  Time listed(const std::string& uid, Time started, bool news = true) {
    return starts.start_time(now, uid, wall_ms(started), news);
  }
};

TEST_CASE_FIXTURE(Clocks, "with a good clock a start is as listed") {
  CHECK(listed("a", now - 3s) == now - 3s);
  CHECK(listed("b", now - 1h, false) == now - 1h);
}

TEST_CASE_FIXTURE(Clocks, "a clock stepped after a start was listed makes no restart of it") {
  const Time first = listed("a", now - 3s);
  for (const Duration step : {Duration(1h), Duration(-2h), Duration(1s), Duration(-1s)}) {
    off += step;
    CHECK(listed("a", Time(100000s) - 3s) == first);
  }
}

TEST_CASE("a change is believed within seconds; else, and in the future, the engine has just started") {
  for (const Duration step : {Duration(1h), Duration(-1h)}) {
    Clocks clocks;
    clocks.off = step;  // wrong before this process began, which it can't know
    clocks.starts = EngineStartTimes([step](std::int64_t ms) { return Time(Duration(ms * 1000000)) - step; });
    CHECK(clocks.listed("a", clocks.now - 3s) == clocks.now);
  }
}

TEST_CASE("no clock step makes an engine seem warmer than it is by more than a second") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom steps(seed);
    Clocks clocks;
    for (int i = 0; i < 100; ++i) {
      clocks.now += 1ms * static_cast<int>(steps.below(5000));
      if (steps.below(3) == 0) {
        const Duration step[] = {1s, -1s, 1h, -1h};
        clocks.off += step[steps.below(4)];
      }
      const Time started = clocks.now - 1ms * static_cast<int>(steps.below(3000));
      const Time taken = clocks.listed("e" + std::to_string(i), started);
      REQUIRE(taken <= clocks.now);
      REQUIRE(taken >= started - 1ms);
    }
  }
}

TEST_CASE("under a stepped clock a new engine is in slow start, and known ones stay as warm") {
  Duration off{};
  const config::Config config = config::decode_config(config_text());
  dispatch::EngineDirectory directory(config.real,
                                      [&](std::int64_t ms) { return Time(Duration(ms * 1000000)) - off; });
  Time now{100000s};
  const auto member = [](const char* uid, Time started) {
    return config::decode_members(
        std::string(R"({"n":2,"members":{"all":false,"targets":[{"uid":")") + uid +
        R"(","endpoint":"127.0.0.1:7009","az":"z","model":"m","state":"up","boot_ms":)" +
        std::to_string(started.time_since_epoch() / 1ms) + "}]}}");
  };
  const Time old_start = now - 5s;
  CHECK(*directory.apply(now, member("old", old_start), false).entries[0].start_time == old_start);
  for (const Duration step : {Duration(1h), Duration(-1h), Duration(-1h)}) {
    off += step;
    now += 1s;
    CHECK(*directory.apply(now, member("old", old_start), false).entries[0].start_time == old_start);
    const std::string uid = "new" + std::to_string(now.time_since_epoch().count());
    CHECK(*directory.apply(now, member(uid.c_str(), now - 2s), false).entries[0].start_time >= now - 2s);
  }
}

}  // namespace
}  // namespace yokestream::test
