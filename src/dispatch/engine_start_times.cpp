#include "dispatch/engine_start_times.h"

#include <algorithm>

namespace yokestream::dispatch {
namespace {

// The list tells of a start within some seconds, and an outage of it lasts some more.
constexpr Duration kOldestNews = std::chrono::seconds(12);

}  // namespace

EngineStartTimes::EngineStartTimes(FromUnix from_unix)
    : from_unix_(std::move(from_unix)), latest_epoch_(from_unix_(0)) {}

Time EngineStartTimes::estimate(Time now, std::int64_t boot_ms, bool news) {
  latest_epoch_ = std::max(latest_epoch_, from_unix_(0));
  const Time start = latest_epoch_ + std::chrono::milliseconds(boot_ms);
  if (start > now) return now;
  return news && now - start > kOldestNews ? now : start;
}

Time EngineStartTimes::started(Time now, const std::string& uid, std::int64_t boot_ms, bool news) {
  auto& [known, time] = known_[uid];
  if (known != boot_ms) known = boot_ms, time = estimate(now, boot_ms, news);
  return time;
}

}  // namespace yokestream::dispatch
