// The thread that runs the dispatcher: it takes events from the queue, hands them in, and lets what is due
// happen, until this process has shut down.
//
// Threads: everything here and all that it refers to belongs to the loop's thread, but for what its own
// header says otherwise. join() may be called by any one thread.
#pragma once

#include <memory>

#include "admin/admin_listener.h"
#include "config/config.h"
#include "discovery/discovery_watcher.h"
#include "dispatch/dispatcher.h"
#include "net/client_port_adapter.h"
#include "net/engine_port_adapter.h"
#include "net/events.h"
#include "net/fleet_state_applier.h"
#include "net/listener.h"
#include "net/session_reaper.h"
#include "net/thread.h"
#include "upgrade/upgrade_coordinator.h"

namespace yokestream::net {

class DispatcherLoop {
 public:
  // What the loop works on; all outlives it. Pointers: nullptr where the configuration leaves that part out.
  struct Components {
    const config::RealSettings& settings;
    dispatch::Log& log;
    DispatcherQueue& events;
    dispatch::Dispatcher& dispatcher;
    ClientPortAdapter& client_port;
    EnginePortAdapter& engine_port;
    std::unique_ptr<Listener>& listener;  // the loop retires it when the shutdown says so
    SessionReaper& session_reaper;
    discovery::DiscoveryWatcher& discovery;
    upgrade::UpgradeCoordinator* upgrade;
    FleetStateApplier* fleet_state;
    admin::AdminListener* admin;
  };

  explicit DispatcherLoop(const Components& components);  // starts; throws std::system_error
  void join() { thread_.join(); }

 private:
  void run();
  [[nodiscard]] bool has_finished(Time now) const;
  void run_iteration();
  void handle(LoopEvent event);
  void handle(dispatch::Event event);
  void prepare_shutdown(dispatch::BeginShutdown& event);
  void apply_operator_requests();
  void log_if_slow(Time began, std::size_t event_count);
  void close_sessions();

  const Components components_;
  dispatch::Dispatcher& dispatcher_;
  Time next_slow_log_{};
  bool draining_requested_ = false;  // the operators' request that has been applied
  Thread thread_;                    // last: it uses the rest
};

}  // namespace yokestream::net
