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

// A platform on which the end of a listening socket does not wake who waits in accept(): the whole test
// program stands on one, in place of the system's call.
extern "C" int shutdown(int fd, int how) noexcept {
  int listens = 0;
  socklen_t size = sizeof listens;
  if (::getsockopt(fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &size) == 0 && listens != 0) return 0;
  return static_cast<int>(::syscall(SYS_shutdown, fd, how));
}

// The system's own function of this name.
template <class Call>
Call* system_call(const char* name) {
  return reinterpret_cast<Call*>(::dlsym(RTLD_NEXT, name));
}

// And one that is short of threads, descriptors and room to watch them: of so many starts in a hundred none
// comes about, but for threads of the test's own.
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
// Of the errors that a call may pass with, the next one; 0: it goes through.
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
constexpr int kNoRoom[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
constexpr int kNoConnect[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, ENOBUFS, EINTR};
constexpr int kNoAccept[] = {ECONNABORTED, EMFILE,   ENFILE,       ENOBUFS,     ENOMEM, EPROTO,
                             EPERM,        ENETDOWN, EHOSTUNREACH, ENETUNREACH, EINTR};
constexpr int kShort = -1;  // less than was asked for
constexpr int kNoSend[] = {EINTR, EAGAIN, ENOBUFS, ENOMEM, kShort};
constexpr int kNoReceive[] = {EINTR, EAGAIN, ENOMEM, kShort};
constexpr int kNoWait[] = {EINTR};

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
  const int error = transient_error(kNoConnect);
  if (error == EINTR) real(fd, address, size);  // interrupted, it goes on by itself
  return error != 0 ? fail(error) : real(fd, address, size);
}
extern "C" ssize_t send(int fd, const void* bytes, size_t size, int flags) {
  static const auto real = system_call<ssize_t(int, const void*, size_t, int)>("send");
  const int error = transient_error(kNoSend);
  if (error == kShort) return real(fd, bytes, 1 + size / 2, flags);
  const bool waits = (flags & MSG_DONTWAIT) == 0;
  return error != 0 && !(waits && error != EINTR) ? fail(error) : real(fd, bytes, size, flags);
}
extern "C" int epoll_wait(int epoll, epoll_event* events, int most, int timeout) {
  static const auto real = system_call<int(int, epoll_event*, int, int)>("epoll_wait");
  const int error = transient_error(kNoWait);
  return error != 0 ? fail(error) : real(epoll, events, most, timeout);
}
extern "C" int poll(pollfd* all, nfds_t count, int timeout) {
  static const auto real = system_call<int(pollfd*, nfds_t, int)>("poll");
  if (interrupt_polls && !exempt_from_faults && timeout != 0) return ++interrupted_poll_count, fail(EINTR);
  const int error = transient_error(kNoWait);
  return error != 0 ? fail(error) : real(all, count, timeout);
}

namespace {
bool file_fails() {
  return file_failures.first_failing_call > 0 && ++file_failures.calls >= file_failures.first_failing_call;
}
}  // namespace
extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = system_call<ssize_t(int, const void*, size_t)>("write");
  const long left = file_failures.bytes_left;
  if (left < 0 && file_failures.first_failing_call == 0) return real(fd, bytes, size);
  struct stat status {};
  if (::fstat(fd, &status) != 0 || !S_ISREG(status.st_mode)) return real(fd, bytes, size);
  if (file_fails()) return fail(file_failures.error);
  if (left < 0) return real(fd, bytes, size);
  if (left == 0) return fail(ENOSPC);
  const auto taken = real(fd, bytes, std::min(size, static_cast<size_t>(left)));
  file_failures.bytes_left -= taken;
  return taken;
}
extern "C" int fsync(int fd) {
  static const auto real = system_call<int(int)>("fsync");
  return file_fails() ? fail(file_failures.error) : real(fd);
}
extern "C" int rename(const char* from, const char* to) noexcept {
  static const auto real = system_call<int(const char*, const char*)>("rename");
  return file_fails() ? fail(file_failures.error) : real(from, to);
}

extern "C" int socket(int domain, int type, int protocol) noexcept {
  static const auto real = system_call<int(int, int, int)>("socket");
  if (resource_call_fails()) return fail(EMFILE);
  const int error = transient_error(kNoRoom);
  return error != 0 ? fail(error) : real(domain, type, protocol);
}
extern "C" int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto real = system_call<int(int, sockaddr*, socklen_t*, int)>("accept4");
  if (resource_call_fails()) return fail(EMFILE);
  const int error = transient_error(kNoAccept);
  return error != 0 ? fail(error) : real(fd, from, size, flags);
}
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = system_call<int(int, int, int, epoll_event*)>("epoll_ctl");
  const bool none = operation == EPOLL_CTL_ADD && resource_call_fails();
  return none ? fail(ENOSPC) : real(epoll, operation, fd, event);
}

// And one whose bounded waits end before their time, while this is set.
std::atomic<bool> bounded_waits_end_early{false};
extern "C" ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto real = system_call<ssize_t(int, void*, size_t, int)>("recv");
  timeval bound{};
  socklen_t length = sizeof bound;
  const bool bounded = (flags & MSG_PEEK) != 0 &&
                       ::getsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, &length) == 0 &&
                       (bound.tv_sec > 0 || bound.tv_usec > 0);
  if (bounded_waits_end_early && bounded) return errno = EAGAIN, -1;
  if (!exempt_from_faults && has_broken_connections_port(fd)) {
    static std::atomic<std::uint32_t> draws{0};
    const std::uint32_t draw = draws++ * 2654435761u >> 8;
    if (draw % 100 < connection_break_percent) return fail(draw % 2 == 0 ? ETIMEDOUT : EHOSTUNREACH);
  }
  const int error = transient_error(kNoReceive);
  if (error == kShort) return real(fd, into, 1 + size / 2, flags);
  const bool waits = (flags & MSG_DONTWAIT) == 0;
  return error != 0 && !(waits && error != EINTR) ? fail(error) : real(fd, into, size, flags);
}
