#include "net/listening_socket.h"

#include <fcntl.h>
#include <sys/socket.h>

#include <cerrno>
#include <system_error>

#include "net/socket_address.h"

namespace yokestream::net {

Fd listen_on(const config::Endpoint& endpoint) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  const sockaddr_in address = address_of(endpoint);
  if (!fd || setsockopt(fd.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0 ||
      ::bind(fd.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd.get(), SOMAXCONN) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot listen on " + to_string(endpoint));
  return fd;
}

bool is_listener(int fd) {
  int listens = 0;
  socklen_t size = sizeof listens;
  return ::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0;
}

Fd inherited_listener(int fd) {
  Fd duplicate(is_listener(fd) ? ::fcntl(fd, F_DUPFD_CLOEXEC, 0) : -1);
  if (!duplicate)
    throw std::system_error(ENOTSOCK, std::generic_category(),
                            "the inherited descriptor is not a listening socket");
  return duplicate;
}

config::Endpoint local_endpoint(const Fd& fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return {host, ntohs(address.sin_port)};
}

}  // namespace yokestream::net
