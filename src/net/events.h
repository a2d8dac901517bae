// What the drivers hand to the thread that owns the core.
#pragma once

#include <functional>
#include <variant>

#include "manager/ports.h"
#include "net/queue.h"
#include "net/socket.h"

namespace yokestream::net {

struct Accepted {  // a new client connection
  Fd fd;
};
using DriverEvent = std::variant<manager::Event, Accepted>;
using Inbox = Mailbox<DriverEvent>;

}  // namespace yokestream::net
