// What the threads of the connections, of discovery and of coordination post to the dispatcher's thread.
#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "coordination/fleet_member.h"
#include "dispatch/ports.h"
#include "door/settings.h"
#include "net/event_queue.h"
#include "net/socket.h"
#include "queues/settings.h"
#include "routing/router.h"

namespace yokestream::net {

class ClientSession;

struct ClientAccepted {  // a new client connection; posted before anything else of it
  dispatch::SessionId id{};
  std::uint64_t origin = 0;  // the address that it comes from, as a number
  std::shared_ptr<ClientSession> session;
};

struct ConfigurationReloaded {  // the parts of a new configuration that take effect at once
  std::optional<config::Endpoint> feed;
  door::Settings door;
  queues::Settings queues;
};

struct LoadGrantChanged {  // the part of the fleet's load that this process may count on
  coordination::FleetMember::LoadGrant grant;
};

struct RoutesChanged {                       // where requests of areas that move may go
  std::optional<routing::RouteTable> table;  // nullopt: nowhere
  Time valid_until{};
};

using LoopEvent =
    std::variant<dispatch::Event, ClientAccepted, ConfigurationReloaded, LoadGrantChanged, RoutesChanged>;
// Any thread posts, the dispatcher's takes.
using DispatcherQueue = EventQueue<LoopEvent>;

}  // namespace yokestream::net
