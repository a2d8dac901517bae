#include "net/listener.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace yokestream::net {
namespace {

constexpr Duration kDescriptorPause = std::chrono::milliseconds(10);  // when none is free

}  // namespace

Gate::Gate() : opened_(::eventfd(0, EFD_CLOEXEC)) {
  if (!opened_) throw std::system_error(errno, std::generic_category(), "cannot wait for clients");
}

void Gate::open() {
  open_ = true;
  raise_event(opened_);
}

Listener::Listener(const config::Config& config, const Gate& gate, dispatch::Budget& slots,
                   dispatch::Budget& budget, Inbox& inbox, ReaderPool& readers, dispatch::Log& log)
    : fd_(config.listen_fd ? inherited_listener(*config.listen_fd) : listen_on(config.listen)),
      over_(::eventfd(0, EFD_CLOEXEC)),
      gate_(gate),
      names_(config.real),
      budget_(budget),
      slots_(slots),
      inbox_(inbox),
      readers_(readers),
      log_(log) {
  if (!over_ || ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot wait for clients");
  thread_ = Thread("listener", kSmallStack, [this] { accept_all(); });
}

Listener::~Listener() { raise_event(over_); }

// Guards the end: whoever waits in accept() itself is not woken by the end of the listener on every platform.
bool Listener::wait_until(Time deadline, const Fd* news) {
  pollfd both[] = {{over_.get(), POLLIN, 0}, {news ? news->get() : -1, POLLIN, 0}};
  ::poll(both, news ? 2 : 1, milliseconds_until(deadline));
  return (both[0].revents & POLLIN) == 0;
}

void Listener::accept_all() {
  // An interrupted wait is no opened gate: until then another process may serve here.
  while (!gate_.is_open()) {
    if (!wait_until(Time::max(), &gate_.opened())) return;
  }
  bool short_of = false;
  while (true) {
    // Guards the descriptors that links to engines need: who is one too many waits to be accepted, and the
    // core closes idle connections before it comes to that.
    dispatch::Reservation slot;
    if (!slots_.try_reserve(slot, 1)) {
      if (!wait_until(now() + kDescriptorPause, nullptr)) return;
      continue;
    }
    if (!wait_until(Time::max(), &fd_)) return;
    sockaddr_in from{};
    socklen_t size = sizeof from;
    Fd fd(::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&from), &size, SOCK_CLOEXEC));
    if (fd) {
      const int on = 1;
      setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      // Guards the time limits: a request counts from its last byte, so it is read from here on and does
      // not wait for a busy core. The core hears of the session first, and so of its requests later.
      const dispatch::SessionId id{++last_session_};
      const auto session = std::make_shared<ClientSession>(id, std::move(fd), std::move(slot), names_,
                                                           budget_, inbox_, readers_, log_);
      inbox_.post(Accepted{id, from.sin_addr.s_addr, session});
      readers_.client_poller.add(session);
      short_of = false;
      continue;
    }
    // Guards against an end of descriptors or memory: who waits is accepted when some are free again.
    const int error = errno;
    const bool passing = error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
    if (passing && !std::exchange(short_of, true)) log_.write("no descriptor is free for a new connection");
    const bool gone = error == EAGAIN || error == EINTR || error == ECONNABORTED;  // it left before its turn
    if (!gone && !wait_until(now() + kDescriptorPause, nullptr)) return;
  }
}

Undertaker::Undertaker() : dead_(~std::size_t{0}) {
  thread_ = Thread("undertaker", kSmallStack, [this] {
    while (dead_.pop()) {
    }
  });
}
Undertaker::~Undertaker() { dead_.finish(); }
void Undertaker::bury(std::shared_ptr<ClientSession> session) {
  session->abort("its session has ended");
  dead_.try_push(std::move(session), 0);
}
void Undertaker::bury(std::unique_ptr<Listener> listener) { dead_.try_push(std::move(listener), 0); }

}  // namespace yokestream::net
