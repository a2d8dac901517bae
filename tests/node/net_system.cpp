#include "net_system.h"

#include <dlfcn.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>

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
std::atomic<std::uint32_t> short_of_all{0};
thread_local bool spared = false;
bool falls_short() {
  static std::atomic<std::uint32_t> draws{0};
  return !spared && (draws++ * 2654435761u >> 8) % 100 < short_of_all;
}
extern "C" int pthread_create(pthread_t* thread, const pthread_attr_t* attributes, void* (*body)(void*),
                              void* argument) {
  static const auto real = system_call<decltype(pthread_create)>("pthread_create");
  return falls_short() ? EAGAIN : real(thread, attributes, body, argument);
}
extern "C" int socket(int domain, int type, int protocol) noexcept {
  static const auto real = system_call<int(int, int, int)>("socket");
  return falls_short() ? (errno = EMFILE, -1) : real(domain, type, protocol);
}
extern "C" int accept4(int fd, sockaddr* from, socklen_t* size, int flags) {
  static const auto real = system_call<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return falls_short() ? (errno = EMFILE, -1) : real(fd, from, size, flags);
}
extern "C" int epoll_ctl(int epoll, int operation, int fd, epoll_event* event) noexcept {
  static const auto real = system_call<int(int, int, int, epoll_event*)>("epoll_ctl");
  const bool none = operation == EPOLL_CTL_ADD && falls_short();
  return none ? (errno = ENOSPC, -1) : real(epoll, operation, fd, event);
}

// And one whose bounded waits end before their time, while this is set.
std::atomic<bool> waits_end_early{false};
extern "C" ssize_t recv(int fd, void* into, size_t size, int flags) {
  static const auto real = system_call<ssize_t(int, void*, size_t, int)>("recv");
  timeval bound{};
  socklen_t length = sizeof bound;
  const bool bounded = (flags & MSG_PEEK) != 0 &&
                       ::getsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, &length) == 0 &&
                       (bound.tv_sec > 0 || bound.tv_usec > 0);
  if (waits_end_early && bounded) return errno = EAGAIN, -1;
  return real(fd, into, size, flags);
}
