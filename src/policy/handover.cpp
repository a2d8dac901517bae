// What was learnt, as a value that another process takes over; and fronts that come and go meanwhile.
#include "impl.h"

namespace yokestream::policy {
namespace {

constexpr Duration kStillBad = std::chrono::seconds(6);  // older news of a failing engine says nothing
constexpr Duration kSameStart = milliseconds(500);       // by two clocks set against the system's

}  // namespace

LearnedState AdmissionController::learned_state() const { return impl_->value(); }

bool AdmissionController::restore(const LearnedState& learnt, Duration age) {
  Impl& own = *impl_;
  if (own.started || !fits(learnt, own.s)) return false;
  static_cast<LearnedPool&>(own) = learnt.pool;
  for (std::size_t i = 0; i < own.classes.size(); ++i)
    static_cast<LearnedClass&>(own.classes[i]) = learnt.classes[i];
  own.kinds = learnt.kinds;
  own.share = std::clamp(own.observed_own_queries / own.observed_all_queries, 1.0 / own.fronts, 1.0);
  own.handed_at = own.now - age;
  for (const auto& e : learnt.engines) own.handed.emplace(e.id.name, e);
  return true;
}

// Danger: an earlier run of an engine taught of a warm one, or a failing one. A new one begins as its kind.
void AdmissionController::Impl::know(Engine& e, const LearnedState::Engine& known) {
  const auto &was = known.start_time, &is = e.entry.start_time;
  if (is && (!was || std::chrono::abs(*is - *was) > kSameStart)) return;
  static_cast<LearnedEngine&>(e) = known.learned;
  e.slow_at = e.shunned_since = handed_at;
  e.trial_at = now + kBackoffLeast;
  if (now - handed_at > kStillBad) e.ejected = false, e.failure_ratio = 0;
}

// Danger: with twice the fronts at work each has half of the room, at once and not as reports teach it.
void AdmissionController::set_manager_count(double now_there) {
  Impl& own = *impl_;
  const double by = own.fronts / now_there;
  own.fronts = now_there;
  own.share = std::clamp(own.share * by, 1 / now_there, 1.0);
  own.pool_bound *= by;
  for (auto& [name, e] : own.engines) {
    e.part = std::clamp(e.part * by, own.share, 1.0);
    e.bound = std::max(1.0, e.bound * by);
  }
}

}  // namespace yokestream::policy
