// What the drivers hand to the thread that owns the core.
#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "coordination/fleet.h"
#include "dispatch/ports.h"
#include "door/settings.h"
#include "net/event_queue.h"
#include "net/socket.h"
#include "queues/settings.h"
#include "routing/routes.h"

namespace yokestream::net {

class ClientSession;
struct Accepted {  // a new client connection
  dispatch::SessionId id{};
  std::uint64_t origin = 0;  // the address that it comes from
  std::shared_ptr<ClientSession> session;
};
struct Reloaded {  // what of a new configuration takes effect at once
  std::optional<config::Endpoint> feed;
  door::Settings door;
  queues::Settings queues;
};
struct FleetTold {  // which part of the fleet's load this process may count on
  coordination::FleetMember::LoadGrant allowed;
};
struct RoutesTold {                          // where requests of areas that move may go, before `until`
  std::optional<routing::RouteTable> table;  // nullopt: nowhere
  Time until{};
};
using DriverEvent = std::variant<dispatch::Event, Accepted, Reloaded, FleetTold, RoutesTold>;
using Inbox = EventQueue<DriverEvent>;

}  // namespace yokestream::net
