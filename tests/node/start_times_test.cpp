// Tests of engine start times when the wall clock is stepped by seconds or an hour, in either direction, at
// any time.
#include <doctest/doctest.h>

#include "dispatch/engine_start_times.h"
#include "helper.h"

namespace yokestream::test {
namespace {

using dispatch::EngineStartTimes;

// A steady clock, and a wall clock that is wrong by clock_error.
struct ClockFixture {
  Time now{100000s};
  Duration clock_error{};
  EngineStartTimes starts{[this](std::int64_t ms) { return Time(Duration(ms * 1000000)) - clock_error; }};
  static std::int64_t wall_ms(Time time) { return time.time_since_epoch() / 1ms; }
  Time resolve_start(const std::string& uid, Time started, bool is_change = true) {
    return starts.start_time(now, uid, wall_ms(started), is_change);
  }
};

TEST_CASE_FIXTURE(ClockFixture, "with a correct clock the start time is the listed one") {
  CHECK(resolve_start("a", now - 3s) == now - 3s);
  CHECK(resolve_start("b", now - 1h, false) == now - 1h);
}

TEST_CASE_FIXTURE(ClockFixture, "a clock step after a start was listed does not count as a restart") {
  const Time first = resolve_start("a", now - 3s);
  for (const Duration step : {Duration(1h), Duration(-2h), Duration(1s), Duration(-1s)}) {
    clock_error += step;
    CHECK(resolve_start("a", Time(100000s) - 3s) == first);
  }
}

TEST_CASE("a start time that is far off or in the future counts as a start now") {
  for (const Duration step : {Duration(1h), Duration(-1h)}) {
    ClockFixture fixture;
    fixture.clock_error =
        step;  // the clock was already wrong when this process started, which it cannot know
    fixture.starts =
        EngineStartTimes([step](std::int64_t ms) { return Time(Duration(ms * 1000000)) - step; });
    CHECK(fixture.resolve_start("a", fixture.now - 3s) == fixture.now);
  }
}

TEST_CASE("a clock step never makes an engine seem more than a millisecond warmer than it is") {
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    SeededRandom steps(seed);
    ClockFixture fixture;
    for (int i = 0; i < 100; ++i) {
      fixture.now += 1ms * static_cast<int>(steps.below(5000));
      if (steps.below(3) == 0) {
        const Duration step[] = {1s, -1s, 1h, -1h};
        fixture.clock_error += step[steps.below(4)];
      }
      const Time started = fixture.now - 1ms * static_cast<int>(steps.below(3000));
      const Time resolved = fixture.resolve_start("e" + std::to_string(i), started);
      REQUIRE(resolved <= fixture.now);
      REQUIRE(resolved >= started - 1ms);
    }
  }
}

TEST_CASE("after a clock step a new engine is in slow start, and known ones keep their start times") {
  Duration clock_error{};
  const config::Config config = config::decode_config(config_text());
  dispatch::EngineDirectory directory(
      config.real, [&](std::int64_t ms) { return Time(Duration(ms * 1000000)) - clock_error; });
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
    clock_error += step;
    now += 1s;
    CHECK(*directory.apply(now, member("old", old_start), false).entries[0].start_time == old_start);
    const std::string uid = "new" + std::to_string(now.time_since_epoch().count());
    CHECK(*directory.apply(now, member(uid.c_str(), now - 2s), false).entries[0].start_time >= now - 2s);
  }
}

}  // namespace
}  // namespace yokestream::test
