#include "standin/engine_model.h"

#include <algorithm>
#include <cmath>

#include "base/seconds.h"

namespace yokestream::standin {
namespace {

constexpr double kWeights[] = {1, 4, 8, 16};
constexpr double kDone = 1e-9;                                  // seconds of work: rounding
constexpr Duration kColdStep = std::chrono::milliseconds(100);  // rates change while it warms up

}  // namespace

EngineModel::EngineModel(EngineSettings settings, Time now, bool cold)
    : settings_(settings), at_(now), started_(now), cold_(cold), random_(settings.seed) {}

bool EngineModel::start(Time now, Query query) {
  advance(now);
  if (running_.size() + line_.size() >= settings_.sessions) return false;
  query.band = std::min<std::uint32_t>(query.band, 3);
  query.memory = std::min(query.memory, settings_.memory_mb);
  const auto behind =
      std::find_if(line_.begin(), line_.end(), [&](const Query& other) { return other.band < query.band; });
  line_.insert(behind, std::move(query));
  admit(now);
  return true;
}

// The line moves by priority and then in turn; its head waits until it has its memory.
void EngineModel::admit(Time now) {
  while (!line_.empty() && granted_ + line_.front().memory <= settings_.memory_mb) {
    Running r;
    r.query = std::move(line_.front());
    line_.pop_front();
    const auto warm = std::find(warm_.begin(), warm_.end(), r.query.group);
    r.all = r.query.work * (warm != warm_.end() ? 1 - settings_.warm_saves : 1);
    if (draw() < settings_.bad_plans) r.all *= settings_.bad_plan_times;
    r.left = r.all;
    if (warm != warm_.end()) warm_.erase(warm);
    warm_.push_front(r.query.group);
    if (warm_.size() > settings_.warm_groups) warm_.pop_back();
    granted_ += r.query.memory;
    const std::string id = r.query.id;
    running_.emplace(id, std::move(r));
  }
  share_out(now);
}

double EngineModel::capacity(Time now, double threads) const {
  if (stalled_) return 0;
  const double over = threads / settings_.cores - settings_.knee;
  double all = settings_.cores * settings_.speed / slow_;
  if (over > 0) all /= 1 + settings_.thrash * over / settings_.knee;
  const double age = cold_ ? seconds_of(now - started_) / seconds_of(settings_.cold_for) : 1;
  return all * (settings_.cold_part + (1 - settings_.cold_part) * std::clamp(age, 0.0, 1.0));
}

// Water filling: each gets its part by weight, no more than its threads; what is left goes to the rest.
void EngineModel::share_out(Time now) {
  std::vector<Running*> open;
  double threads = 0;
  for (auto& [id, r] : running_) {
    r.rate = 0;
    r.still = false;
    for (const auto& [other_id, other] : running_) {
      if (&other == &r || !other.query.load || other.query.group != r.query.group) continue;
      if (r.query.waits || (r.query.load && other_id < id)) r.still = true;
    }
    if (!r.still) open.push_back(&r), threads += r.query.threads;
  }
  double left = capacity(now, threads);
  const double one = left / settings_.cores;  // what one core does
  while (!open.empty() && left > 0) {
    double weights = 0;
    for (const Running* r : open) weights += kWeights[r->query.band];
    const double unit = left / weights;
    const auto full = std::partition(open.begin(), open.end(), [&](const Running* r) {
      return unit * kWeights[r->query.band] < r->query.threads * one;
    });
    if (full == open.end()) {
      for (Running* r : open) r->rate = unit * kWeights[r->query.band];
      break;
    }
    for (auto it = full; it != open.end(); ++it) {
      (*it)->rate = (*it)->query.threads * one;
      left -= (*it)->rate;
    }
    open.erase(full, open.end());
  }
}

std::vector<EngineModel::Ended> EngineModel::advance(Time now) {
  std::vector<Ended> ended;
  while (at_ < now) {
    share_out(at_);
    const auto next = next_end(at_);
    Time to = next ? std::min(now, std::max(*next, at_ + Duration(1))) : now;
    if (cold_ && at_ - started_ < settings_.cold_for) to = std::min(to, at_ + kColdStep);
    const double step = seconds_of(to - at_);
    at_ = to;
    bool freed = false;
    for (auto it = running_.begin(); it != running_.end();) {
      Running& r = it->second;
      r.left -= r.rate * step;
      if (r.left > kDone) {
        ++it;
        continue;
      }
      ended.push_back({it->first, r.all, r.query.memory});
      granted_ -= r.query.memory;
      it = running_.erase(it);
      freed = true;
    }
    if (freed) admit(at_);
  }
  return ended;
}

std::optional<Time> EngineModel::next_end(Time now) {
  std::optional<Time> next;
  for (const auto& [id, r] : running_) {
    if (r.rate <= 0) continue;
    const Time end = now + Duration(static_cast<Duration::rep>(std::ceil(r.left / r.rate * 1e9)));
    if (!next || end < *next) next = end;
  }
  return next;
}

void EngineModel::stop(Time now, const std::string& id) {
  advance(now);
  std::erase_if(line_, [&](const Query& q) { return q.id == id; });
  if (const auto it = running_.find(id); it != running_.end()) {
    granted_ -= it->second.query.memory;
    running_.erase(it);
  }
  admit(now);
}

void EngineModel::nice(Time now, const std::string& id, std::uint32_t band) {
  advance(now);
  if (const auto it = running_.find(id); it != running_.end()) it->second.query.band = std::min(band, 3u);
  share_out(now);
}

void EngineModel::slow(Time now, double times) {
  advance(now);
  slow_ = times;
  share_out(now);
}

void EngineModel::stall(Time now, bool stalled) {
  advance(now);
  stalled_ = stalled;
  share_out(now);
}

std::vector<std::string> EngineModel::die(Time now) {
  advance(now);
  std::vector<std::string> lost;
  for (const auto& [id, r] : running_) lost.push_back(id);
  for (const Query& q : line_) lost.push_back(q.id);
  running_.clear();
  line_.clear();
  warm_.clear();
  granted_ = 0;
  started_ = now;
  cold_ = true;
  return lost;
}

double EngineModel::progress(const std::string& id) const {
  const auto it = running_.find(id);
  return it == running_.end() ? 0 : std::clamp(1 - it->second.left / it->second.all, 0.0, 1.0);
}

}  // namespace yokestream::standin
