#include "net/fleet_keeper.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

using coordination::Fleet;

constexpr Duration kMeasureEvery = std::chrono::seconds(1);
constexpr double kTrafficStep = 0.1;                              // weight of one second in the traffic
constexpr Duration kWatchAgain = std::chrono::milliseconds(100);  // where one could not be opened

// Attempts end with their requests' deadlines, or when the engine has confirmed a stop.
constexpr Duration kStops = std::chrono::milliseconds(1000);

std::optional<migration::Mover> mover_for(const config::Config& config) {
  if (config.fleet.areas.empty()) return std::nullopt;
  return std::optional<migration::Mover>(std::in_place, config.real.longest_deadline() + kStops,
                                         config.fleet.drift);
}

}  // namespace

FleetKeeper::FleetKeeper(const config::Config& config, Inbox& inbox, dispatch::Log& log)
    : inbox_(inbox),
      log_(log),
      mover_(mover_for(config)),
      fleet_(config.fleet, config.name, "1", config.settings.manager_count, now(),
             mover_ ? std::vector<coordination::Duty*>{&*mover_} : std::vector<coordination::Duty*>{}),
      ask_within_(config.fleet.ask),
      client_(config.fleet.store, config.seed, config.fleet.spread),
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

void FleetKeeper::tally(const routing::Tallies& tallies) {
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
  while (!over_ && !fleet_.left()) {
    const Time time = now();
    if (leaving_ && !std::exchange(told_to_leave, true)) fleet_.leave();
    hear_core();
    measure(time);
    tell_core();
    if (mover_) tell_routes();
    tell_log();
    const auto request = time < client_.not_before() ? std::nullopt : fleet_.next(time);
    if (request) {
      fleet_.asked(time);
      ask(*request);
      continue;
    }
    keep_watches(time);
    wait(std::min({std::max(fleet_.due(time), client_.not_before()), measure_at_}));
  }
}

void FleetKeeper::hear_core() {
  fleet_.applied(applied_);
  if (!mover_) return;
  fleet_.applied(*mover_, routed_);
  const std::lock_guard lock(tallied_);
  fleet_.tallies(mover_->tallies(tallies_));
}

void FleetKeeper::ask(const store::Request& request) {
  const auto reply = client_.ask(request, now() + ask_within_);
  fleet_.replied(now(), reply);
}

void FleetKeeper::measure(Time now) {
  if (now < measure_at_) return;
  const std::uint64_t count = arrived_;
  traffic_ += kTrafficStep * (static_cast<double>(count - measured_) - traffic_);
  measured_ = count;
  measure_at_ = now + kMeasureEvery;
  fleet_.traffic(traffic_);
}

// The core counts on a part for a moment less than it may: it looks ten times a second.
void FleetKeeper::tell_core() {
  const auto allowed = fleet_.allowed();
  if (allowed == allowed_) return;
  allowed_ = allowed;
  inbox_.post(FleetTold{allowed});
}

// The grant is this session's: a core that hears of no renewal closes the areas by itself.
void FleetKeeper::tell_routes() {
  const auto& table = mover_->table();
  const std::int64_t epoch = table ? table->epoch : -1;
  const Time until = fleet_.until();
  if (epoch == told_epoch_ && until == told_until_) return;
  told_epoch_ = epoch, told_until_ = until;
  inbox_.post(RoutesTold{table, until});
}

void FleetKeeper::tell_log() {
  if (fleet_.trouble() != noted_) log_.write("the fleet: " + (noted_ = fleet_.trouble()));
  if (fleet_.owner() == owner_) return;
  owner_ = fleet_.owner();
  log_.write(owner_ ? "the fleet: this process owns the duty shares, term " + std::to_string(fleet_.term())
                    : "the fleet: this process owns the duty shares no more");
}

// Opens what is wanted, and where the last one began no longer fits.
void FleetKeeper::keep_watches(Time now) {
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    const auto slot = static_cast<Fleet::Slot>(i);
    const auto wanted = fleet_.wanted(slot);
    if (opened_[i] && (!wanted || wanted->key != opened_[i]->key || !watchers_[i].is_open())) {
      watchers_[i].close();
      opened_[i].reset();
    }
    if (!wanted || opened_[i] || now < client_.not_before()) continue;
    if (watchers_[i].open(*wanted, client_.address(), now + ask_within_))
      opened_[i] = wanted;
    else
      fleet_.cut(slot), client_.failed_elsewhere(now);
  }
}

void FleetKeeper::wait(Time until) {
  pollfd all[Fleet::kSlots + 1] = {};
  for (std::size_t i = 0; i < watchers_.size(); ++i) all[i] = {watchers_[i].descriptor(), POLLIN, 0};
  all[Fleet::kSlots] = {news_.get(), POLLIN, 0};
  ::poll(all, Fleet::kSlots + 1, milliseconds_until(until));
  std::uint64_t news = 0;
  [[maybe_unused]] const auto size = ::read(news_.get(), &news, sizeof news);
  for (std::size_t i = 0; i < watchers_.size(); ++i) {
    if (!watchers_[i].is_open()) continue;
    const auto slot = static_cast<Fleet::Slot>(i);
    for (const auto& message : watchers_[i].read()) fleet_.heard(slot, message);
    if (!watchers_[i].is_open()) fleet_.cut(slot);
  }
}

}  // namespace yokestream::net
