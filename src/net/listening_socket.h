// Sockets that listen for connections: opened here, or handed down by the platform.
#pragma once

#include "net/socket.h"

namespace yokestream::net {

Fd listen_on(const config::Endpoint& endpoint);  // throws std::system_error
bool is_listener(int fd);                        // an open TCP socket that listens?
// A descriptor of our own of a listening socket that was handed down. Throws std::system_error.
Fd inherited_listener(int fd);
config::Endpoint local_endpoint(const Fd& fd);

}  // namespace yokestream::net
