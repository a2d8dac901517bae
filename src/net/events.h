// The events that connections, the listener, discovery and coordination post to the dispatcher's thread.
#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "coordination/fleet_member.h"
#include "dispatch/ports.h"
#include "net/event_queue.h"
#include "net/socket.h"
#include "routing/router.h"
#include "scheduler/settings.h"
#include "throttle/settings.h"

namespace yokestream::net {

class ClientSession;

struct ClientAccepted {  // a new client connection; posted before any other event of it
  dispatch::SessionId id{};
  std::uint64_t origin = 0;  // the client's IPv4 address as a number
  std::shared_ptr<ClientSession> session;
};

struct ConfigurationReloaded {  // the parts of a configuration that take effect without a restart
  std::optional<config::Endpoint> feed;
  throttle::Settings throttle;
  scheduler::Settings scheduler;
};

struct LoadGrantChanged {  // the share of the fleet's load that this process may use
  coordination::FleetMember::LoadGrant grant;
};

struct RoutesChanged {                       // where requests of movable areas may be sent
  std::optional<routing::RouteTable> table;  // nullopt: nowhere
  Time valid_until{};
};

using LoopEvent =
    std::variant<dispatch::Event, ClientAccepted, ConfigurationReloaded, LoadGrantChanged, RoutesChanged>;
// Any thread may post; only the dispatcher's thread drains it.
using DispatcherQueue = EventQueue<LoopEvent>;

}  // namespace yokestream::net
