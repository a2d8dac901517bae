#include "upgrade/upgrade_coordinator.h"

#include <algorithm>
#include <utility>

namespace yokestream::upgrade {
namespace {

using net::Duration;
using net::Time;
using std::chrono::milliseconds;

// The platform kills a process that shuts down after the longest deadline, capped, plus kKillDelay.
constexpr Duration kMaxCountedDeadline = std::chrono::seconds(3);
constexpr Duration kMaxCountedDeadlineWithSuccessor = std::chrono::seconds(5);
constexpr Duration kKillDelay = milliseconds(700);
constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kSnapshotInterval = milliseconds(1000);

}  // namespace

bool is_enabled(const config::Config& config) { return config.listen_fd && !config.shared_folder.empty(); }

std::optional<snapshot::RestoredState> load_predecessor_state(const config::Config& config,
                                                              dispatch::Log& log) {
  if (!is_enabled(config)) return std::nullopt;
  return SnapshotHandover::load(config.shared_folder, config.real, log);
}

dispatch::BeginShutdown shutdown_event(const config::RealSettings& settings, bool has_successor) {
  dispatch::BeginShutdown event;
  event.has_successor = has_successor;
  const Duration cap = has_successor ? kMaxCountedDeadlineWithSuccessor : kMaxCountedDeadline;
  event.max_duration = std::min(settings.longest_deadline(), cap) + kKillDelay;
  return event;
}

UpgradeCoordinator::UpgradeCoordinator(const config::Config& config, net::AcceptGate& gate,
                                       dispatch::Budget& session_slots, dispatch::Budget& memory_budget,
                                       dispatch::Dispatcher& dispatcher)
    : settings_(config.real),
      gate_(gate),
      session_slots_(session_slots),
      memory_budget_(memory_budget),
      dispatcher_(dispatcher),
      group_(config.shared_folder),
      handover_(config.shared_folder, group_.slot(), config.real) {}

void UpgradeCoordinator::begin_serving() {
  gate_.open();
  group_.announce_serving();
}

void UpgradeCoordinator::tick() {
  const Time now = net::now();
  if (now < next_tick_) return;
  next_tick_ = now + kTickInterval;
  share_limits();
  follow_peers();
  if (net::now() >= next_snapshot_) offer_snapshot();
}

// Reduces the local limits by the connections and memory that the peers use.
void UpgradeCoordinator::share_limits() {
  group_.publish_usage({session_slots_.reserved(), memory_budget_.reserved()});
  const PeerUsage peers = group_.peer_usage();
  session_slots_.set_withheld(peers.sessions);
  memory_budget_.set_withheld(peers.bytes);
  dispatcher_.set_peer_process_count(peers.serving_processes);
}

// Handles two late changes: a successor may appear after this process began to shut down, and the predecessor
// may exit before this process has been asked whether it is ready.
void UpgradeCoordinator::follow_peers() {
  const bool peer_accepts_clients = group_.has_successor();
  const auto& lifecycle = dispatcher_.lifecycle();
  if (lifecycle.is_shutting_down() && peer_accepts_clients && lifecycle.accepts_connections(net::now()))
    dispatcher_.handle(net::now(), shutdown_event(settings_, group_.has_successor()));
  if (!lifecycle.is_shutting_down() && !peer_accepts_clients && !std::exchange(predecessor_gone_, true))
    begin_serving();
}

// Only a process that is serving writes snapshots: one that has not served yet, or that is shutting down, has
// learned less.
void UpgradeCoordinator::offer_snapshot() {
  next_snapshot_ = net::now() + kSnapshotInterval;
  if (gate_.is_open() && !dispatcher_.lifecycle().is_shutting_down())
    handover_.offer(dispatcher_.learned_state());
}

}  // namespace yokestream::upgrade
