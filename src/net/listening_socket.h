// Listening TCP sockets, opened by this process or inherited from the platform.
#pragma once

#include "net/socket.h"

namespace yokestream::net {

Fd listen_on(const config::Endpoint& endpoint);  // throws std::system_error
bool is_listener(int fd);                        // true for an open TCP socket that listens
// Returns a duplicate of an inherited listening socket's descriptor. Throws std::system_error.
Fd inherited_listener(int fd);
config::Endpoint local_endpoint(const Fd& fd);

}  // namespace yokestream::net
