// A planned upgrade, in which a new process of the same manager takes over the listening socket from an old
// one.
//
// It decides when this process opens its accept gate, shares the limits on connections and memory between the
// processes that are alive, passes the learned state on, and tells the dispatcher how to shut down.
//
//   new process                                   old process
//   joins the group, gate closed                  serves
//   is asked for readyz: gate open, announced     sees a successor
//                                                 is told to end: withdraws, answers what is open, exits
//
// Threads: begin_serving() may be called by any thread, the rest by the dispatcher's.
#pragma once

#include <optional>

#include "config/config.h"
#include "dispatch/budget.h"
#include "dispatch/dispatcher.h"
#include "net/accept_gate.h"
#include "upgrade/process_group.h"
#include "upgrade/snapshot_handover.h"

namespace yokestream::upgrade {

// Whether processes of this manager may share its listener.
[[nodiscard]] bool is_enabled(const config::Config& config);

// What a predecessor has learned, if upgrades are enabled and it left something of use.
[[nodiscard]] std::optional<snapshot::RestoredState> load_predecessor_state(const config::Config& config,
                                                                            dispatch::Log& log);

// How to shut down, where another process that shares the listener accepts clients, or none does.
[[nodiscard]] dispatch::BeginShutdown shutdown_event(const config::RealSettings& settings,
                                                     bool has_successor);

class UpgradeCoordinator {
 public:
  // Joins the process group. All references outlive this. Throws std::system_error.
  UpgradeCoordinator(const config::Config& config, net::AcceptGate& gate, dispatch::Budget& session_slots,
                     dispatch::Budget& memory_budget, dispatch::Dispatcher& dispatcher);

  // Accepts clients from now on, and says so to the group.
  void begin_serving();
  // This process no longer accepts clients.
  void withdraw() { group_.withdraw(); }
  [[nodiscard]] bool has_successor() const { return group_.has_successor(); }
  // Ten times a second at most, however often it is called.
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
  // The dispatcher's thread only.
  net::Time next_tick_{};
  net::Time next_snapshot_{};
  bool predecessor_gone_ = false;
};

}  // namespace yokestream::upgrade
