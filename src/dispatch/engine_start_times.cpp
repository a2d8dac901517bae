#include "dispatch/engine_start_times.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

// The engine list reports a start within a few seconds; an outage of the list adds a few more.
constexpr Duration kMaxReportedChangeAge = std::chrono::seconds(12);

}  // namespace

EngineStartTimes::EngineStartTimes(SteadyFromUnix steady_from_unix)
    : steady_from_unix_(std::move(steady_from_unix)), latest_unix_epoch_(steady_from_unix_(0)) {}

Time EngineStartTimes::estimate(Time now, std::int64_t boot_ms, bool is_change) {
  latest_unix_epoch_ = std::max(latest_unix_epoch_, steady_from_unix_(0));
  const Time start = latest_unix_epoch_ + std::chrono::milliseconds(boot_ms);
  if (start > now) return now;
  return is_change && now - start > kMaxReportedChangeAge ? now : start;
}

Time EngineStartTimes::start_time(Time now, const std::string& uid, std::int64_t boot_ms, bool is_change) {
  auto& [known_boot_ms, time] = start_times_[uid];
  if (known_boot_ms == boot_ms) return time;
  known_boot_ms = boot_ms;
  time = estimate(now, boot_ms, is_change);
  return time;
}

}  // namespace yokestream::dispatch
