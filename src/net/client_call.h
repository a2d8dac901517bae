// Decodes a client's message into an event of the core: fields validated, names looked up, the deadline
// absolute. Pure: no I/O, no clock. An invalid field makes the event a BadRequest with its cause.
#pragma once

#include "config/settings.h"
#include "dispatch/ports.h"
#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

dispatch::Event to_event(dispatch::SessionId session, protocol::ClientMessage message, Time arrived,
                         const config::RealSettings& names);

}  // namespace yokestream::net
