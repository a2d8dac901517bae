// A planned upgrade, in which a new process of the same manager takes over the listening socket from an old
// one.
// The coordinator decides when this process opens its accept gate, divides the limits on connections and
// memory between the living processes, passes the learned state on, and tells the dispatcher how to shut
// down.
//
//   new process                                   old process
//   joins the group, gate closed                  accepts clients
//   answers readyz: opens the gate, announces     sees a successor
//                                                 is terminated: withdraws, answers open requests, exits
// Threads: begin_serving() may be called by any thread, the rest by the dispatcher thread only.
#pragma once

#include <optional>

#include "config/config.h"
#include "dispatch/budget.h"
#include "dispatch/dispatcher.h"
#include "net/accept_gate.h"
#include "upgrade/process_group.h"
#include "upgrade/snapshot_handover.h"

namespace yokestream::upgrade {

// True if several processes of this manager may share its listening socket.
[[nodiscard]] bool is_enabled(const config::Config& config);

// Returns the learned state of a predecessor, if upgrades are enabled and it left a usable snapshot.
[[nodiscard]] std::optional<snapshot::RestoredState> load_predecessor_state(const config::Config& config,
                                                                            dispatch::Log& log);

// Returns how to shut down. `has_successor`: another process that shares the listening socket accepts
// clients.
[[nodiscard]] dispatch::BeginShutdown shutdown_event(const config::RealSettings& settings,
                                                     bool has_successor);

class UpgradeCoordinator {
 public:
  // Joins the process group. All references must outlive this object. Throws std::system_error.
  UpgradeCoordinator(const config::Config& config, net::AcceptGate& gate, dispatch::Budget& session_slots,
                     dispatch::Budget& memory_budget, dispatch::Dispatcher& dispatcher);

  // Starts to accept clients and announces that to the group.
  void begin_serving();
  // Announces that this process no longer accepts clients.
  void withdraw() { group_.withdraw(); }
  [[nodiscard]] bool has_successor() const { return group_.has_successor(); }
  // Does its work at most ten times a second, however often it is called.
  void tick();

 private:
  void share_limits();
  void follow_peers();
  void offer_snapshot();

  const config::RealSettings& settings_;
  net::AcceptGate& gate_;
  dispatch::Budget& session_slots_;
  dispatch::Budget& memory_budget_;
  dispatch::Dispatcher& dispatcher_;
  ProcessGroup group_;
  SnapshotHandover handover_;
  // Dispatcher thread only.
  net::Time next_tick_{};
  net::Time next_snapshot_{};
  bool predecessor_gone_ = false;
};

}  // namespace yokestream::upgrade
