// The complete workload manager on sockets. The server only creates and connects its members; each runs on
// the threads that its header names.
//
//   thread          member               task
//   listener        listener_            accepts clients
//   client-poller   client_poller_       reads clients (busy ones have a reader thread each)
//   engine-poller   engine_poller_       reads engines
//   writer          slow_writer_poller_  writes to peers that are slow to read
//   feed            discovery_           watches the endpoint list
//   fleet           coordination_        coordinates load shares and routes with the fleet
//   operators       admin_               serves operators' requests
//   session-reaper  session_reaper_      destroys ended sessions and the listener
//   dispatcher      dispatcher_loop_     owns dispatcher_, client_port_ and engine_port_
#pragma once

#include <memory>
#include <optional>

#include "admin/admin_listener.h"
#include "config/config.h"
#include "discovery/discovery_watcher.h"
#include "dispatch/dispatcher.h"
#include "net/accept_gate.h"
#include "net/client_port_adapter.h"
#include "net/coordination_thread.h"
#include "net/dispatcher_loop.h"
#include "net/engine_port_adapter.h"
#include "net/events.h"
#include "net/fleet_state_applier.h"
#include "net/listener.h"
#include "net/poller.h"
#include "net/session_reaper.h"
#include "upgrade/upgrade_coordinator.h"

namespace yokestream::net {

class Server {
 public:
  // Starts serving. Both arguments must outlive the server. Throws std::system_error.
  Server(const config::Config& config, dispatch::Log& log);
  ~Server();  // stops at once; for a graceful shutdown call begin_shutdown() and wait() first
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  [[nodiscard]] config::Endpoint endpoint() const { return listener_->endpoint(); }  // only before a shutdown
  // nullopt if there is no admin listener.
  [[nodiscard]] std::optional<config::Endpoint> admin_endpoint() const;
  // Any thread may call. Applies the new feed address and the settings of the throttle and the scheduler.
  void reload(const config::Config& config);
  // Any thread may call. Starts a graceful shutdown, during which clients are still served.
  void begin_shutdown();
  void wait();  // blocks until the shutdown is complete

 private:
  void begin_serving();

  dispatch::Log& log_;
  dispatch::Budget memory_budget_;         // bytes of requests and results
  dispatch::Budget client_memory_budget_;  // bytes; see client_memory.h
  dispatch::Budget session_slots_;         // client connections
  DispatcherQueue events_;
  // Declared before the members that hold connections.
  Poller engine_poller_;
  Poller client_poller_;
  Poller slow_writer_poller_;
  ReaderPool reader_pool_;
  SessionReaper session_reaper_;
  ClientPortAdapter client_port_;  // used by the dispatcher's thread only, as are the next two
  EnginePortAdapter engine_port_;
  dispatch::Dispatcher dispatcher_;  // its metrics may be read by any thread
  std::unique_ptr<discovery::DiscoveryWatcher> discovery_;
  AcceptGate accept_gate_;                              // any thread
  std::unique_ptr<Listener> listener_;                  // the dispatcher's thread retires it
  std::optional<upgrade::UpgradeCoordinator> upgrade_;  // if processes may share the listener
  std::optional<CoordinationThread> coordination_;      // if the fleet shares a store
  std::optional<FleetStateApplier> fleet_state_;        // likewise; used by the dispatcher's thread only
  std::unique_ptr<admin::AdminListener> admin_;         // reads dispatcher_'s metrics; opens accept_gate_
  std::unique_ptr<DispatcherLoop> dispatcher_loop_;     // declared last: it uses the other members
};

}  // namespace yokestream::net
