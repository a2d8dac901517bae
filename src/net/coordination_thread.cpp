#include "net/coordination_thread.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

using coordination::FleetMember;

constexpr Duration kTrafficSampleInterval = std::chrono::seconds(1);
constexpr double kTrafficSampleWeight = 0.1;  // of a new sample in the exponential moving average

// An engine confirms within this time after a request's deadline that the last attempt has been stopped.
constexpr Duration kStopConfirmationTime = std::chrono::milliseconds(1000);

std::optional<migration::MigrationTask> make_migration_task(const config::Config& config) {
  if (config.fleet.movable_areas.empty()) return std::nullopt;
  return std::optional<migration::MigrationTask>(
      std::in_place, config.real.longest_deadline() + kStopConfirmationTime, config.fleet.clock_drift);
}

}  // namespace

CoordinationThread::CoordinationThread(const config::Config& config, DispatcherQueue& event_queue,
                                       dispatch::Log& log)
    : event_queue_(event_queue),
      log_(log),
      migration_task_(make_migration_task(config)),
      member_(config.fleet, config.name, "1", config.settings.manager_count, now(),
              migration_task_ ? std::vector<coordination::LeaderTask*>{&*migration_task_}
                              : std::vector<coordination::LeaderTask*>{}),
      call_timeout_(config.fleet.call_timeout),
      client_(config.fleet.store_endpoints, config.seed, config.fleet.reconnect_spread),
      next_sample_at_(now() + kTrafficSampleInterval),
      wakeup_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!wakeup_)
    throw std::system_error(errno, std::generic_category(), "cannot start the coordination thread");
  thread_ = Thread("fleet", kLargeStackBytes, [this] { run(); });
}

CoordinationThread::~CoordinationThread() {
  stopping_ = true;
  client_.stop();
  for (auto& watcher : watchers_) watcher.stop();
  raise_event(wakeup_);
  thread_.join();
}

void CoordinationThread::acknowledge_load_shares(std::int64_t epoch) {
  applied_shares_epoch_ = epoch;
  raise_event(wakeup_);
}

void CoordinationThread::acknowledge_routes(std::int64_t epoch) {
  applied_routes_epoch_ = epoch;
  raise_event(wakeup_);
}

void CoordinationThread::set_outcome_tallies(const routing::OutcomeTallies& tallies) {
  const std::lock_guard lock(tallies_mutex_);
  tallies_ = tallies;
}

void CoordinationThread::leave() {
  leaving_ = true;
  raise_event(wakeup_);
}

// After leave() the loop runs until the member has resigned and revoked its lease, or the destructor stops
// it.
void CoordinationThread::run() {
  bool leave_requested = false;
  while (!stopping_ && !member_.has_left()) {
    const Time time = now();
    if (leaving_ && !std::exchange(leave_requested, true)) member_.begin_leaving();
    read_dispatcher_progress();
    sample_traffic(time);
    post_load_grant();
    if (migration_task_) post_routes();
    log_changes();
    const auto request = time < client_.next_attempt_at() ? std::nullopt : member_.next_request(time);
    if (request) {
      member_.on_request_sent(time);
      call_store(*request);
      continue;
    }
    maintain_watches(time);
    wait(std::min({std::max(member_.next_due(time), client_.next_attempt_at()), next_sample_at_}));
  }
}

void CoordinationThread::read_dispatcher_progress() {
  member_.acknowledge(applied_shares_epoch_);
  if (!migration_task_) return;
  member_.acknowledge(*migration_task_, applied_routes_epoch_);
  const std::lock_guard lock(tallies_mutex_);
  member_.set_outcome_tallies(migration_task_->outcome_tallies(tallies_));
}

void CoordinationThread::call_store(const store::Request& request) {
  const auto reply = client_.call(request, now() + call_timeout_);
  member_.on_reply(now(), reply);
}

void CoordinationThread::sample_traffic(Time now) {
  if (now < next_sample_at_) return;
  const std::uint64_t arrivals = arrivals_;
  requests_per_s_ +=
      kTrafficSampleWeight * (static_cast<double>(arrivals - sampled_arrivals_) - requests_per_s_);
  sampled_arrivals_ = arrivals;
  next_sample_at_ = now + kTrafficSampleInterval;
  member_.set_requests_per_s(requests_per_s_);
}

void CoordinationThread::post_load_grant() {
  const auto grant = member_.load_grant();
  if (grant == posted_grant_) return;
  posted_grant_ = grant;
  event_queue_.post(LoadGrantChanged{grant});
}

// Routes expire with this process's session in the store: without a renewal the dispatcher stops sending
// requests of movable areas.
void CoordinationThread::post_routes() {
  const auto& table = migration_task_->routing_table();
  const std::int64_t epoch = table ? table->epoch : -1;
  const Time until = member_.session_held_until();
  if (epoch == posted_routes_epoch_ && until == posted_routes_expiry_) return;
  posted_routes_epoch_ = epoch;
  posted_routes_expiry_ = until;
  event_queue_.post(RoutesChanged{table, until});
}

void CoordinationThread::log_changes() {
  if (member_.fault() != logged_fault_) {
    logged_fault_ = member_.fault();
    log_.write("fleet member stopped: cause=\"" + logged_fault_ + "\"");
  }
  if (member_.is_leader() == logged_leader_) return;
  logged_leader_ = member_.is_leader();
  if (logged_leader_)
    log_.write("fleet leadership acquired: task=shares fencing_token=" +
               std::to_string(member_.fencing_token()));
  else
    log_.write("fleet leadership lost: task=shares");
}

// Closes watches that have ended or whose key is no longer desired, and opens those that are missing.
void CoordinationThread::maintain_watches(Time now) {
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const auto slot = static_cast<FleetMember::WatchSlot>(i);
    const auto desired = member_.desired_watch(slot);
    if (open_requests_[i] &&
        (!desired || desired->key != open_requests_[i]->key || !watchers_[i].is_open())) {
      watchers_[i].close();
      open_requests_[i].reset();
    }
    if (!desired || open_requests_[i] || now < client_.next_attempt_at()) continue;
    if (watchers_[i].open(*desired, client_.endpoint(), now + call_timeout_)) {
      open_requests_[i] = desired;
    } else {
      member_.on_watch_lost(slot);
      client_.record_watch_failure(now);
    }
  }
}

void CoordinationThread::wait(Time until) {
  pollfd polled[FleetMember::kWatchSlots + 1] = {};
  for (std::size_t i = 0; i < watchers_.size(); ++i) polled[i] = {watchers_[i].descriptor(), POLLIN, 0};
  polled[FleetMember::kWatchSlots] = {wakeup_.get(), POLLIN, 0};
  ::poll(polled, FleetMember::kWatchSlots + 1, milliseconds_until(until));
  std::uint64_t counter = 0;
  [[maybe_unused]] const auto size = ::read(wakeup_.get(), &counter, sizeof counter);
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (!watchers_[i].is_open()) continue;
    const auto slot = static_cast<FleetMember::WatchSlot>(i);
    for (const auto& message : watchers_[i].read()) member_.on_watch_response(slot, message);
    if (!watchers_[i].is_open()) member_.on_watch_lost(slot);
  }
}

}  // namespace yokestream::net
