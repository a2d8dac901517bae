#include "net_fault_injection.h"

#include <dlfcn.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>

// Emulates a platform on which shutdown() of a listening socket does not wake a thread that waits in
// accept(). Always active in the test program.
extern "C" int shutdown(int fd, int how) noexcept {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0) return 0;
  return static_cast<int>(::syscall(SYS_shutdown, fd, how));
}

// Returns the real function of this name.
template <class Call>
Call* system_call(const char* name) {
  return reinterpret_cast<Call*>(::dlsym(RTLD_NEXT, name));
}

// Emulates a shortage of threads, descriptors and room in epoll. Exempt threads are those of the test itself.
std::atomic<std::uint32_t> resource_failure_percent{0};
thread_local bool exempt_from_faults = false;
bool resource_call_fails() {
  static std::atomic<std::uint32_t> draws{0};
  return !exempt_from_faults && (draws++ * 2654435761u >> 8) % 100 < resource_failure_percent;
}
extern "C" int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                              void* argument) {
  static const auto real = system_call<decltype(pthread_create)>("pthread_create");
  return resource_call_fails() ? EAGAIN : real(thread, attributes, body, argument);
}
namespace {
// Picks the error that this call fails with; 0 if it succeeds.
template <std::size_t N>
int transient_error(const int (&errors)[N]) {
  static std::atomic<std::uint32_t> draws{0};
  if (exempt_from_faults || transient_failure_percent == 0) return 0;
  const std::uint32_t draw = draws++ * 2654435761u >> 8;
  if (draw % 100 >= transient_failure_percent) return 0;
  ++injected_failure_count;
  return errors[draw / 100 % N];
}
int fail(int error) { return errno = error, -1; }
constexpr int kResourceErrors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
constexpr int kConnectErrors[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS, EINTR};
constexpr int kAcceptErrors[] = {ECONNABORTED, EMFILE,   ENFILE,       ENOBUFS,     ENOMEM, EPROTO,
                                 EPERM,        ENETDOWN, EHOSTUNREACH, ENETUNREACH, EINTR};
constexpr int kPartialTransfer = -1;  // a partial transfer instead of an error
constexpr int kSendErrors[] = {EINTR, EAGAIN, ENOBUFS, ENOMEM, kPartialTransfer};
constexpr int kReceiveErrors[] = {EINTR, EAGAIN, ENOMEM, kPartialTransfer};
constexpr int kWaitErrors[] = {EINTR};

bool has_broken_connections_port(int fd) {
  sockaddr_in peer{};
  socklen_t size = sizeof peer;
  return broken_connections_port != 0 && ::getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
         ntohs(peer.sin_port) == broken_connections_port;
}
}  // namespace
std::atomic<std::uint32_t> transient_failure_percent{0}, connection_break_percent{0};
std::atomic<long> injected_failure_count{0}, interrupted_poll_count{0};
std::atomic<std::uint16_t> broken_connections_port{0};
std::atomic<bool> interrupt_polls{false};
ConnectFailures connect_failures;
FileFailures file_failures;

extern "C" int connect(int fd, const sockaddr* address, socklen_t size) {
  static const auto real = system_call<int(int, const sockaddr*, socklen_t)>("connect");
  if (!exempt_from_faults && connect_failures.remaining > 0 && connect_failures.remaining-- > 0) {
    if (connect_failures.error == EINTR) real(fd, address, size);
    return fail(connect_failures.error);
  }
  const int error = transient_error(kConnectErrors);
  if (error == EINTR) real(fd, address, size);  // an interrupted connect continues in the background
  return error != 0 ? fail(error) : real(fd, address, size);
}
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = system_call<ssize_t(int, const void*, size_t, int)>("send");
  const int error = transient_error(kSendErrors);
  if (error == kPartialTransfer) return real(fd, bytes, 1 + size / 2, flags);
  const bool blocking = (flags & MSG_DONTWAIT) == 0;
  return error != 0 && !(blocking && error != EINTR) ? fail(error) : real(fd, bytes, size, flags);
}
extern "C" int epoll_wait(int epoll, epoll_event* events, int max_events, int timeout) {
  static const auto real = system_call<int(int, epoll_event*, int, int)>("epoll_wait");
  const int error = transient_error(kWaitErrors);
  return error != 0 ? fail(error) : real(epoll, events, max_events, timeout);
}
extern "C" int poll(pollfd* descriptors, nfds_t count, int timeout) {
  static const auto real = system_call<int(pollfd*, nfds_t, int)>("poll");
  if (interrupt_polls && !exempt_from_faults && timeout != 0) return ++interrupted_poll_count, fail(EINTR);
  const int error = transient_error(kWaitErrors);
  return error != 0 ? fail(error) : real(descriptors, count, timeout);
}

namespace {
bool file_call_fails() {
  return file_failures.first_failing_call > 0 && ++file_failures.calls >= file_failures.first_failing_call;
}
}  // namespace
extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = system_call<ssize_t(int, const void*, size_t)>("write");
  const long bytes_left = file_failures.bytes_left;
  if (bytes_left < 0 && file_failures.first_failing_call == 0) return real(fd, bytes, size);
  struct stat status {};
  if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) return real(fd, bytes, size);
  if (file_call_fails()) return fail(file_failures.error);
  if (bytes_left < 0) return real(fd, bytes, size);
  if (bytes_left == 0) return fail(ENOSPC);
  const auto taken = real(fd, bytes, std::min(size, static_cast<size_t>(bytes_left)));
  file_failures.bytes_left -= taken;
  return taken;
}
extern "C" int fsync(int fd) {
  static const auto real = system_call<int(int)>("fsync");
  return file_call_fails() ? fail(file_failures.error) : real(fd);
}
extern "C" int rename(const char* from, const char* to) noexcept {
  static const auto real = system_call<int(const char*, const char*)>("rename");
  return file_call_fails() ? fail(file_failures.error) : real(from, to);
}

extern "C" int socket(int domain, int type, int protocol) noexcept {
  static const auto real = system_call<int(int, int, int)>("socket");
  if (resource_call_fails()) return fail(EMFILE);
  const int error = transient_error(kResourceErrors);
  return error != 0 ? fail(error) : real(domain, type, protocol);
}
extern "C" int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto real = system_call<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (resource_call_fails()) return fail(EMFILE);
  const int error = transient_error(kAcceptErrors);
  return error != 0 ? fail(error) : real(fd, from, size, flags);
}
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = system_call<int(int, int, int, epoll_event*)>("epoll_ctl");
  const bool fails = operation == EPOLL_CTL_ADD && resource_call_fails();
  return fails ? fail(ENOSPC) : real(epoll, operation, fd, event);
}

// Emulates bounded waits that end early, while the flag is set.
std::atomic<bool> bounded_waits_end_early{false};
extern "C" ssize_t recv(int fd, void* buffer, size_t size, int flags) {
  static const auto real = system_call<ssize_t(int, void*, size_t, int)>("recv");
  timeval timeout_setting{};
  socklen_t length = sizeof timeout_setting;
  const bool bounded = (flags & MSG_PEEK) != 0 &&
                       ::getsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout_setting, &length) == 0 &&
                       (timeout_setting.tv_sec > 0 || timeout_setting.tv_usec > 0);
  if (bounded_waits_end_early && bounded) return errno = EAGAIN, -1;
  if (!exempt_from_faults && has_broken_connections_port(fd)) {
    static std::atomic<std::uint32_t> draws{0};
    const std::uint32_t draw = draws++ * 2654435761u >> 8;
    if (draw % 100 < connection_break_percent) return fail(draw % 2 == 0 ? ETIMEDOUT : EHOSTUNREACH);
  }
  const int error = transient_error(kReceiveErrors);
  if (error == kPartialTransfer) return real(fd, buffer, 1 + size / 2, flags);
  const bool blocking = (flags & MSG_DONTWAIT) == 0;
  return error != 0 && !(blocking && error != EINTR) ? fail(error) : real(fd, buffer, size, flags);
}
