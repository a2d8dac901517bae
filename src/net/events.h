// What the drivers hand to the thread that owns the core.
#pragma once

#include <memory>
#include <optional>
#include <variant>

#include "manager/ports.h"
#include "net/queue.h"
#include "net/socket.h"

namespace yokestream::net {

class ClientSession;
struct Accepted {  // a new client connection
  manager::SessionId id{};
  std::shared_ptr<ClientSession> session;
};
struct NewFeed {  // the configuration names another control feed, or none any more
  std::optional<config::Endpoint> feed;
};
using DriverEvent = std::variant<manager::Event, Accepted, NewFeed>;
using Inbox = Mailbox<DriverEvent>;

}  // namespace yokestream::net
