// A client's message as the core is to hear it: fields checked, names looked up, the deadline absolute.
// Pure: no I/O, no clock. A field that makes no sense makes the event a BadRequest with its reason.
#pragma once

#include "config/settings.h"
#include "dispatch/ports.h"
#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

dispatch::Event to_event(dispatch::SessionId session, protocol::ClientMessage message, Time arrived,
                         const config::RealSettings& names);

}  // namespace yokestream::net
