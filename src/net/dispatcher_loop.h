// The thread that runs the dispatcher. Until this process has shut down, it takes events from the queue,
// passes them to the dispatcher and runs the dispatcher's due timers.
//
// Threads: this class's state and all the components belong to the loop's thread, except where a component's
// header says otherwise. One thread, any, may call join().
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
  // What the loop works on. All of it outlives the loop. A pointer is nullptr if the configuration disables
  // that component.
  struct Components {
    const config::RealSettings& settings;
    dispatch::Log& log;
    DispatcherQueue& events;
    dispatch::Dispatcher& dispatcher;
    ClientPortAdapter& client_port;
    EnginePortAdapter& engine_port;
    std::unique_ptr<Listener>& listener;  // retired by the loop during a shutdown
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
  void log_if_slow(Time started_at, std::size_t event_count);
  void close_sessions();

  const Components components_;
  dispatch::Dispatcher& dispatcher_;
  Time next_slow_log_{};
  bool draining_requested_ = false;  // the last applied request of the operators
  Thread thread_;                    // declared last: it uses the other members
};

}  // namespace yokestream::net
