#include "net/fleet_keeper.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

using coordination::FleetMember;

constexpr Duration kMeasureEvery = std::chrono::seconds(1);
constexpr double kTrafficStep = 0.1;                              // weight of one second in the traffic
constexpr Duration kWatchAgain = std::chrono::milliseconds(100);  // where one could not be opened

// Attempts end with their requests' deadlines, or when the engine has confirmed a stop.
constexpr Duration kStops = std::chrono::milliseconds(1000);

std::optional<migration::MigrationTask> mover_for(const config::Config& config) {
  if (config.fleet.movable_areas.empty()) return std::nullopt;
  return std::optional<migration::MigrationTask>(std::in_place, config.real.longest_deadline() + kStops,
                                                 config.fleet.clock_drift);
}

}  // namespace

FleetKeeper::FleetKeeper(const config::Config& config, DispatcherQueue& inbox, dispatch::Log& log)
    : inbox_(inbox),
      log_(log),
      mover_(mover_for(config)),
      fleet_(config.fleet, config.name, "1", config.settings.manager_count, now(),
             mover_ ? std::vector<coordination::LeaderTask*>{&*mover_}
                    : std::vector<coordination::LeaderTask*>{}),
      ask_within_(config.fleet.call_timeout),
      client_(config.fleet.store_endpoints, config.seed, config.fleet.reconnect_spread),
      measure_at_(now() + kMeasureEvery),
      news_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (!news_) throw std::system_error(errno, std::generic_category(), "cannot keep to the fleet");
  thread_ = Thread("fleet", kLargeStack, [this] { run(); });
}

FleetKeeper::~FleetKeeper() {
  over_ = true;
  client_.stop();
  for (auto& watcher : watchers_) watcher.stop();
  raise_event(news_);
  thread_.join();
}

void FleetKeeper::applied(std::int64_t epoch) {
  applied_ = epoch;
  raise_event(news_);
}

void FleetKeeper::routed(std::int64_t epoch) {
  routed_ = epoch;
  raise_event(news_);
}

void FleetKeeper::tally(const routing::OutcomeTallies& tallies) {
  const std::lock_guard lock(tallied_);
  tallies_ = tallies;
}

void FleetKeeper::leave() {
  leaving_ = true;
  raise_event(news_);
}

// Once it is to leave it gives up its place and its lease, as far as the store answers before the end.
void FleetKeeper::run() {
  bool told_to_leave = false;
  while (!over_ && !fleet_.has_left()) {
    const Time time = now();
    if (leaving_ && !std::exchange(told_to_leave, true)) fleet_.begin_leaving();
    hear_core();
    measure(time);
    tell_core();
    if (mover_) tell_routes();
    tell_log();
    const auto request = time < client_.next_attempt_at() ? std::nullopt : fleet_.next_request(time);
    if (request) {
      fleet_.on_request_sent(time);
      ask(*request);
      continue;
    }
    keep_watches(time);
    wait(std::min({std::max(fleet_.next_due(time), client_.next_attempt_at()), measure_at_}));
  }
}

void FleetKeeper::hear_core() {
  fleet_.acknowledge(applied_);
  if (!mover_) return;
  fleet_.acknowledge(*mover_, routed_);
  const std::lock_guard lock(tallied_);
  fleet_.set_outcome_tallies(mover_->outcome_tallies(tallies_));
}

void FleetKeeper::ask(const store::Request& request) {
  const auto reply = client_.call(request, now() + ask_within_);
  fleet_.on_reply(now(), reply);
}

void FleetKeeper::measure(Time now) {
  if (now < measure_at_) return;
  const std::uint64_t count = arrived_;
  traffic_ += kTrafficStep * (static_cast<double>(count - measured_) - traffic_);
  measured_ = count;
  measure_at_ = now + kMeasureEvery;
  fleet_.set_requests_per_s(traffic_);
}

// The core counts on a part for a moment less than it may: it looks ten times a second.
void FleetKeeper::tell_core() {
  const auto allowed = fleet_.load_grant();
  if (allowed == allowed_) return;
  allowed_ = allowed;
  inbox_.post(LoadGrantChanged{allowed});
}

// The grant is this session's: a core that hears of no renewal closes the areas by itself.
void FleetKeeper::tell_routes() {
  const auto& table = mover_->routing_table();
  const std::int64_t epoch = table ? table->epoch : -1;
  const Time until = fleet_.session_held_until();
  if (epoch == told_epoch_ && until == told_until_) return;
  told_epoch_ = epoch, told_until_ = until;
  inbox_.post(RoutesChanged{table, until});
}

void FleetKeeper::tell_log() {
  if (fleet_.fault() != noted_) log_.write("the fleet: " + (noted_ = fleet_.fault()));
  if (fleet_.is_leader() == owner_) return;
  owner_ = fleet_.is_leader();
  log_.write(owner_ ? "the fleet: this process owns the duty shares, term " +
                          std::to_string(fleet_.fencing_token())
                    : "the fleet: this process owns the duty shares no more");
}

// Opens what is wanted, and where the last one began no longer fits.
void FleetKeeper::keep_watches(Time now) {
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const auto slot = static_cast<FleetMember::WatchSlot>(i);
    const auto wanted = fleet_.desired_watch(slot);
    if (opened_[i] && (!wanted || wanted->key != opened_[i]->key || !watchers_[i].is_open())) {
      watchers_[i].close();
      opened_[i].reset();
    }
    if (!wanted || opened_[i] || now < client_.next_attempt_at()) continue;
    if (watchers_[i].open(*wanted, client_.endpoint(), now + ask_within_))
      opened_[i] = wanted;
    else
      fleet_.on_watch_lost(slot), client_.record_watch_failure(now);
  }
}

void FleetKeeper::wait(Time until) {
  pollfd all[FleetMember::kWatchSlots + 1] = {};
  for (std::size_t i = 0; i < watchers_.size(); ++i) all[i] = {watchers_[i].descriptor(), POLLIN, 0};
  all[FleetMember::kWatchSlots] = {news_.get(), POLLIN, 0};
  ::poll(all, FleetMember::kWatchSlots + 1, milliseconds_until(until));
  std::uint64_t news = 0;
  [[maybe_unused]] const auto size = ::read(news_.get(), &news, sizeof news);
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (!watchers_[i].is_open()) continue;
    const auto slot = static_cast<FleetMember::WatchSlot>(i);
    for (const auto& message : watchers_[i].read()) fleet_.on_watch_response(slot, message);
    if (!watchers_[i].is_open()) fleet_.on_watch_lost(slot);
  }
}

}  // namespace yokestream::net
