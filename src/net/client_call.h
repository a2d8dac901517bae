// A client's message as the core is to hear it: fields checked, names looked up, the deadline absolute.
// Pure: no I/O, no clock. A field that makes no sense makes the event a BadRequest with its reason.
#pragma once

#include "config/settings.h"
#include "manager/ports.h"
#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

manager::Event to_event(manager::SessionId session, protocol::ClientMessage message, Time arrived,
                        const config::RealSettings& names);

}  // namespace yokestream::net
