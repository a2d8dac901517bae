// Implements the public class and the sequence of steps in which an event is handled.
#include "yokestream/policy/admission_controller.h"

#include <algorithm>

#include "controller_impl.h"

namespace yokestream::policy {
namespace {

const Settings& checked(const Settings& settings) {
  check(settings);
  return settings;
}

}  // namespace

AdmissionController::Impl::Impl(const Settings& settings, std::uint64_t seed, Time now)
    : settings_(checked(settings)),
      random_(seed),
      now_(now),
      load_share_(settings.manager_count),
      workload_(settings_),
      estimator_(settings.classes.size(), settings.kinds.size()),
      congestion_(settings.classes.size()),
      slow_start_(settings_),
      peer_load_(settings_),
      announcements_(settings_),
      retries_(settings_),
      quotas_(settings_, now),
      rules_(settings_, engines_, keys_, retries_, slow_start_),
      capacity_({settings_, load_share_, peer_load_, bound_, congestion_, slow_start_, workload_}),
      selector_(
          {settings_, engines_, rules_, capacity_, estimator_, workload_, load_share_, peer_load_, random_}),
      watchdog_(settings_, congestion_, retries_) {}

void AdmissionController::Impl::handle(Time now, const Event& event, std::vector<Action>& actions) {
  now_ = std::max(now_, now);
  actions_ = &actions;
  const bool first = !stall_.started();
  stall_.observe(now_);
  if (first) {
    emit(StartTimer{kTickInterval, kTickTimer});
    if (settings_.engine_list_source == EngineListSource::on_request) emit(WatchEngineList{});
  }
  std::visit([&](const auto& e) { on(e); }, event);
  // These events free no capacity, so the queue can wait for the next tick.
  if (std::holds_alternative<AttemptProgress>(event) || std::holds_alternative<PeerMessage>(event)) return;
  place_queued(std::holds_alternative<TimerFired>(event));
}

std::size_t AdmissionController::Impl::unavailable_engines() const {
  const auto& all = engines_.all();
  return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [&](const auto& known) {
    const Engine& engine = known.second;
    if (engine.entry.state == EngineState::removed) return false;
    return !engine.is_up() || engine.outlier.ejected || bound_.is_saturated(engine.concurrency, now_);
  }));
}

Query* AdmissionController::Impl::find(QueryId id) {
  const auto it = queries_.find(id);
  return it == queries_.end() ? nullptr : &it->second;
}

AdmissionController::AdmissionController(const Settings& settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(settings, seed, now)) {}
AdmissionController::~AdmissionController() = default;
AdmissionController::AdmissionController(AdmissionController&&) noexcept = default;
AdmissionController& AdmissionController::operator=(AdmissionController&&) noexcept = default;

void AdmissionController::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

std::size_t AdmissionController::unavailable_engines() const { return impl_->unavailable_engines(); }

LearnedState AdmissionController::learned_state() const { return impl_->learned_state(); }

bool AdmissionController::restore(const LearnedState& state, Duration age) {
  return impl_->restore(state, age);
}

void AdmissionController::set_manager_count(double manager_count) { impl_->set_manager_count(manager_count); }

}  // namespace yokestream::policy
