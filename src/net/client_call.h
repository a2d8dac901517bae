// Converts a client's message into a dispatcher event: validates its fields, resolves names to ids and makes
// the deadline absolute. Does no I/O and reads no clock. An invalid field yields a BadRequest with the cause.
#pragma once

#include <optional>

#include "config/settings.h"
#include "dispatch/ports.h"
#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

// The class that the call names; nullopt: there is no such class.
std::optional<policy::ClassId> find_class(const protocol::Call& call, const config::RealSettings& settings);

dispatch::Event to_event(dispatch::SessionId session, protocol::ClientMessage message, Time arrived,
                         const config::RealSettings& settings);

}  // namespace yokestream::net
