#include "scheduler/bands.h"

#include <algorithm>

namespace yokestream::scheduler {

void Bands::configure(double sink, double nice_per_s) { sink_ = sink, nice_per_s_ = nice_per_s; }

unsigned Bands::target(Time now, Running& r) {
  const Duration ran = now - r.since;
  if (!r.sunk && !r.told.load && r.told.usual > Duration{} &&
      ran > std::chrono::duration_cast<Duration>(sink_ * r.told.usual))
    r.sunk = true, ++sunk_;
  if (r.sunk) return 0;
  int band = static_cast<int>(r.told.wish);
  band += r.told.level >= 3 ? 1 : r.told.level == 0 ? -1 : 0;
  const bool late = now > r.told.wanted;
  band += !late && ran < r.told.usual_most && now + std::max(Duration{}, r.told.usual - ran) > r.told.wanted;
  band -= r.told.borrowed && pressure_;
  if (r.told.load) band = std::max(band, static_cast<int>(r.told.wish));
  return static_cast<unsigned>(std::clamp(band, 0, 3));
}

unsigned Bands::start(Time now, QueryId query, const Start& start) {
  Running& r = running_[query] = Running{start, now, now, start.wish, false};
  if (looked_ == Time{}) looked_ = now;
  return r.band = target(now, r);
}

// The module's word on a priority is its own to time; the bound on messages holds for it all the same: what
// is over comes with a later look.
std::optional<unsigned> Bands::wish(Time now, QueryId query, unsigned wish) {
  const auto it = running_.find(query);
  if (it == running_.end()) return std::nullopt;
  Running& r = it->second;
  r.told.wish = wish;
  const unsigned band = target(now, r);
  if (band == r.band || !may_tell(now, r.told.engine)) return std::nullopt;
  r.band = band, r.changed = now;
  return band;
}

void Bands::waiting(Time now, bool somebody) {
  if (!somebody) {
    waiting_since_ = Time::max();
    if (calm_since_ == Time::max()) calm_since_ = now;
    if (now - calm_since_ >= kPressureOff) pressure_ = false;
    return;
  }
  calm_since_ = Time::max();
  if (waiting_since_ == Time::max()) waiting_since_ = now;
  if (now - waiting_since_ >= kPressureOn) pressure_ = true;
}

bool Bands::may_tell(Time now, const std::string& engine) {
  Engine& e = engines_.try_emplace(engine, Engine{nice_per_s_, now}).first->second;
  const double s = std::chrono::duration<double>(now - e.at).count();
  e.left = std::min(std::max(1.0, nice_per_s_), e.left + nice_per_s_ * s);
  e.at = now;
  if (e.left < 1) return false;
  --e.left, ++told_;
  return true;
}

std::optional<Bands::Change> Bands::next(Time now) {
  if (changes_.empty() && now - looked_ >= kLook) {
    looked_ = now;
    for (auto& [query, r] : running_) {
      const bool sunk = r.sunk;
      const unsigned band = target(now, r);
      if (band == r.band || (r.sunk == sunk && !r.sunk && now - r.changed < kDwell)) continue;
      changes_.push_back({query, band, r.sunk && !r.sank});
    }
    // Taken from the back: who sinks goes first.
    std::stable_partition(changes_.begin(), changes_.end(), [](const Change& c) { return c.band > 0; });
    std::erase_if(engines_, [&](const auto& e) { return now - e.second.at > std::chrono::seconds(60); });
  }
  while (!changes_.empty()) {
    const Change change = changes_.back();
    changes_.pop_back();
    const auto it = running_.find(change.query);
    if (it == running_.end() || it->second.band == change.band) continue;
    if (!may_tell(now, it->second.told.engine)) continue;  // found again by the next look
    it->second.band = change.band, it->second.changed = now;
    it->second.sank |= change.sinks;
    return change;
  }
  return std::nullopt;
}

}  // namespace yokestream::scheduler
