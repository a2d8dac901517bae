#include "dispatch/engine_start_times.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

// The list has a start within some seconds, and an outage of the list lasts some more.
constexpr Duration kMaxNewsAge = std::chrono::seconds(12);

}  // namespace

EngineStartTimes::EngineStartTimes(FromUnix from_unix)
    : from_unix_(std::move(from_unix)), latest_epoch_(from_unix_(0)) {}

Time EngineStartTimes::estimate(Time now, std::int64_t boot_ms, bool is_change) {
  latest_epoch_ = std::max(latest_epoch_, from_unix_(0));
  const Time start = latest_epoch_ + std::chrono::milliseconds(boot_ms);
  if (start > now) return now;
  return is_change && now - start > kMaxNewsAge ? now : start;
}

Time EngineStartTimes::start_time(Time now, const std::string& uid, std::int64_t boot_ms, bool is_change) {
  auto& [known_boot_ms, time] = start_times_[uid];
  if (known_boot_ms == boot_ms) return time;
  known_boot_ms = boot_ms;
  time = estimate(now, boot_ms, is_change);
  return time;
}

}  // namespace yokestream::dispatch
