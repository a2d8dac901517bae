#include "net/socket.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <system_error>

#include "net/socket_address.h"

namespace yokestream::net {
namespace {

// The kernel takes a timeout of zero as no timeout.
constexpr std::int64_t kMinTimeoutUs = 1000;

// The kernel measures the timeout from the start of each call, so it is set right before the call.
void set_timeout(int fd, int option, Time deadline) {
  const auto remaining_us = std::max<std::int64_t>(
      kMinTimeoutUs, std::chrono::duration_cast<std::chrono::microseconds>(deadline - now()).count());
  const timeval value{static_cast<time_t>(remaining_us / 1000000),
                      static_cast<suseconds_t>(remaining_us % 1000000)};
  setsockopt(fd, SOL_SOCKET, option, &value, sizeof value);
}

// Lists the errors that Linux documents for a local shortage; all others come from the peer or the network.
ConnectFailure failure_of(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:
    case ENETUNREACH:
    case ENETDOWN:
      return {std::strerror(error), true};
    default:
      return {std::strerror(error), false};
  }
}

// The call would block or lacks kernel memory. It can be retried; the connection is still open.
bool is_transient(int error) { return error == EAGAIN || error == ENOBUFS || error == ENOMEM; }

bool fail(ConnectFailure* failure, ConnectFailure value) {
  *failure = std::move(value);
  return false;
}

void disable_nagle(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Fd::~Fd() {
  if (fd_ >= 0) ::close(fd_);
}

void raise_event(const Fd& event) {
  const std::uint64_t one = 1;
  while (::write(event.get(), &one, sizeof one) < 0 && errno == EINTR) {
  }
}

bool Socket::connect(const config::Endpoint& endpoint, Time deadline, ConnectFailure* failure) {
  const ConnectStatus status = start_connect(endpoint, failure);
  if (status != ConnectStatus::pending) return status == ConnectStatus::connected;
  pollfd writable{fd_.get(), POLLOUT, 0};
  while (true) {
    const int ready_count = ::poll(&writable, 1, milliseconds_until(deadline));
    if (ready_count > 0) return finish_connect(failure);
    if (ready_count < 0 && errno != EINTR) return fail(failure, {std::strerror(errno), true});
    if (now() >= deadline) return fail(failure, {"connect timed out", false});
  }
}

// Opens the descriptor and starts the connect under one lock. So an abort() comes either before both, and no
// connect is started, or after both, and shuts the socket down.
Socket::ConnectStatus Socket::start_connect(const config::Endpoint& endpoint, ConnectFailure* failure) {
  const std::lock_guard lock(mutex_);
  if (aborted_) {
    *failure = {"aborted", false};
    return ConnectStatus::failed;
  }
  fd_ = Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  if (!fd_) {
    *failure = {std::strerror(errno), true};
    return ConnectStatus::failed;
  }
  const sockaddr_in address = address_of(endpoint);
  const int result = ::connect(fd_.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  if (result == 0) return finish_connect(failure) ? ConnectStatus::connected : ConnectStatus::failed;
  // An interrupted connect continues in the background; a second call would fail with EALREADY.
  if (errno == EINPROGRESS || errno == EINTR) return ConnectStatus::pending;
  *failure = failure_of(errno);
  return ConnectStatus::failed;
}

bool Socket::finish_connect(ConnectFailure* failure) {
  const int fd = fd_.get();
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) error = errno;
  if (error == 0 && ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK) != 0) error = errno;
  if (error != 0) *failure = failure_of(error);
  if (error == 0) disable_nagle(fd);
  return error == 0;
}

// Failure: a bounded wait ends before its deadline. Symptom: an open connection is taken for a closed one.
// Guard: a close and a timeout are distinguished by the result of recv(), never by the clock.
Socket::WaitResult Socket::wait_readable(Time deadline) {
  char first = 0;
  const auto received = receive(&first, 1, deadline, MSG_PEEK);
  if (received > 0) return WaitResult::readable;
  return received < 0 && is_transient(errno) ? WaitResult::timed_out : WaitResult::closed;
}

std::size_t Socket::read_until(char* into, std::size_t size, Time deadline) {
  return static_cast<std::size_t>(std::max<std::ptrdiff_t>(0, receive(into, size, deadline, 0)));
}

std::optional<std::size_t> Socket::try_read(char* into, std::size_t size) {
  const std::lock_guard lock(mutex_);
  while (!aborted_) {
    const ssize_t received = ::recv(fd_.get(), into, size, MSG_DONTWAIT);
    if (received > 0 && write_shut_down_) return std::nullopt;
    if (received >= 0) return static_cast<std::size_t>(received);
    if (is_transient(errno)) return std::nullopt;
    if (errno != EINTR) return 0;
  }
  return 0;
}

std::optional<std::size_t> Socket::try_write(std::string_view bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t sent =
        ::send(fd_.get(), bytes.data() + written, bytes.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && is_transient(errno)) break;
    if (sent < 0) return std::nullopt;
    written += static_cast<std::size_t>(sent);
  }
  return written;
}

std::ptrdiff_t Socket::receive(char* into, std::size_t size, Time deadline, int flags) {
  if (deadline == Time::max() && std::exchange(read_timeout_set_, false)) {
    const timeval no_timeout{0, 0};
    setsockopt(fd_.get(), SOL_SOCKET, SO_RCVTIMEO, &no_timeout, sizeof no_timeout);
  }
  ssize_t received = 0;
  do {
    // Set again before each call, because stopping and continuing the process interrupts a bounded read.
    if (deadline != Time::max()) {
      set_timeout(fd_.get(), SO_RCVTIMEO, deadline);
      read_timeout_set_ = true;
    }
    received = ::recv(fd_.get(), into, size, flags);
  } while (received < 0 && errno == EINTR);
  return received;
}

Socket::WriteResult Socket::write(std::string_view bytes) {
  const std::size_t size = bytes.size();
  while (!bytes.empty()) {
    const ssize_t sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent <= 0) return bytes.size() == size ? WriteResult::none : WriteResult::partial;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return WriteResult::all;
}

std::size_t Socket::unread_bytes() const {
  int bytes = 0;
  if (!fd_ || ::ioctl(fd_.get(), FIONREAD, &bytes) != 0) return 0;
  return static_cast<std::size_t>(std::max(bytes, 0));
}

bool Socket::peer_has_closed() const {
  pollfd peer{fd_.get(), POLLRDHUP, 0};
  while (::poll(&peer, 1, 0) < 0) {
    if (errno != EINTR) return false;
  }
  return (peer.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Socket::shutdown_write() {
  const std::lock_guard lock(mutex_);
  shutdown_write_locked();
}

void Socket::shutdown_write_locked() {
  write_shut_down_ = true;
  if (fd_ && !aborted_) ::shutdown(fd_.get(), SHUT_WR);
}

void Socket::abort() {
  const std::lock_guard lock(mutex_);
  abort_locked();
}

void Socket::abort_locked() {
  aborted_ = true;
  if (fd_) ::shutdown(fd_.get(), SHUT_RDWR);
}

}  // namespace yokestream::net
