// Converts an endpoint to the address structure of the socket API.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include "config/members.h"

namespace yokestream::net {

inline sockaddr_in address_of(const config::Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(endpoint.port);
  inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr);
  return address;
}

}  // namespace yokestream::net
