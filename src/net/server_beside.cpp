// Other processes: those of this manager during an upgrade, and those of the fleet. The core's thread only.
#include <algorithm>

#include "net/server.h"

namespace yokestream::net {
namespace {

using std::chrono::milliseconds;

// After the word to leave, where another process took over: the kill comes after the longest deadline, at
// most so much counted, and this.
constexpr Duration kLongestCounted = std::chrono::seconds(5);
constexpr Duration kKillAfter = milliseconds(700);
constexpr Duration kLookAtOthers = milliseconds(100);
constexpr Duration kHandOverEvery = milliseconds(1000);
constexpr Duration kTallyEvery = milliseconds(500);

}  // namespace

// What differs where another process that shares the listener says yes; this one says it no more.
dispatch::BeginShutdown Server::leave_as() const {
  dispatch::BeginShutdown leave;
  leave.has_successor = together_ && together_->successor();
  leave.max_duration = std::min(config_.real.longest_deadline(), kLongestCounted) + kKillAfter;
  return leave;
}

// Ten times a second. What others hold of the clients' connections and of the memory is theirs, not ours.
void Server::look_at_others() {
  next_look_ = now() + kLookAtOthers;
  together_->tell({slots_.reserved(), budget_.reserved()});
  const auto theirs = together_->others();
  slots_.set_aside(theirs.sessions);
  budget_.set_aside(theirs.bytes);
  manager_.set_peer_process_count(theirs.serving);
  const bool other = together_->successor();
  const auto& service = manager_.lifecycle();
  if (service.is_shutting_down() && other && service.accepts_connections(now()))
    manager_.handle(now(), leave_as());
  if (!service.is_shutting_down() && !other && !std::exchange(alone_, true)) open_gate();
  if (now() >= next_hand_over_) hand_over();
}

// By the one that serves: a newcomer that has served nobody, and one that leaves, have less to tell.
void Server::hand_over() {
  next_hand_over_ = now() + kHandOverEvery;
  if (gate_.is_open() && !manager_.lifecycle().is_shutting_down())
    hand_over_->offer(manager_.learned_state());
}

// Where areas that move may go; counted on a moment less, like parts. The epoch is said to be kept to only
// when nothing is out any more that it bars.
void Server::take(const RoutesTold& told) {
  manager_.apply_routes(now(), told.table.value_or(routing::RouteTable{}),
                        told.table ? coordination::with_lease_margin(told.until) : Time::min());
}

void Server::look_at_routes() {
  const std::int64_t epoch = manager_.routes_epoch();
  if (routed_ != epoch && manager_.conforms_to_routes()) keeper_->routed(routed_ = epoch);
  if (manager_.tallies().empty() || now() < next_tally_) return;
  next_tally_ = now() + kTallyEvery;
  keeper_->tally(manager_.tallies());
}

// Which part of the fleet's load this process counts on now; told on once the core acts on it.
void Server::look_at_part() {
  const auto part = allowed_.share_at(now());
  if (part > 0 && std::exchange(part_, part) != part)
    manager_.set_manager_count(static_cast<double>(coordination::kFullLoad) / static_cast<double>(part));
  if (std::exchange(applied_, allowed_.epoch) != allowed_.epoch) keeper_->applied(allowed_.epoch);
}

}  // namespace yokestream::net
