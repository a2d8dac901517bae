#include "net/listener.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include <cerrno>
#include <memory>
#include <system_error>
#include <utility>

namespace yokestream::net {
namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(10);  // while no descriptor is free

bool is_lack_of_resources(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// The client left before it was accepted, or there is nobody to accept.
bool is_nothing_to_accept(int error) { return error == EAGAIN || error == EINTR || error == ECONNABORTED; }

}  // namespace

Listener::Listener(const config::Config& config, const AcceptGate& gate, dispatch::Budget& session_slots,
                   dispatch::Budget& memory_budget, DispatcherQueue& events, ReaderPool& reader_pool,
                   dispatch::Log& log)
    : fd_(config.listen_fd ? inherited_listener(*config.listen_fd) : listen_on(config.listen)),
      stop_event_(::eventfd(0, EFD_CLOEXEC)),
      gate_(gate),
      settings_(config.real),
      memory_budget_(memory_budget),
      session_slots_(session_slots),
      events_(events),
      reader_pool_(reader_pool),
      log_(log) {
  if (!stop_event_ || ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot wait for clients");
  thread_ = Thread("listener", kSmallStackBytes, [this] { run(); });
}

Listener::~Listener() { raise_event(stop_event_); }

// Failure: a thread that waits in accept() itself is not woken on every platform when its listener is to end.
// Symptom: the destructor hangs. Guard: it waits for the socket and for stop_event_ together.
Listener::WaitResult Listener::wait_until(Time deadline, const Fd* readable) {
  pollfd polled[] = {{stop_event_.get(), POLLIN, 0}, {readable ? readable->get() : -1, POLLIN, 0}};
  ::poll(polled, readable ? 2 : 1, milliseconds_until(deadline));
  return (polled[0].revents & POLLIN) == 0 ? WaitResult::ready : WaitResult::stopping;
}

void Listener::run() {
  // A wait that was interrupted does not mean that the gate is open: until then another process may serve
  // here.
  while (!gate_.is_open()) {
    if (wait_until(Time::max(), &gate_.opened_event()) == WaitResult::stopping) return;
  }
  accept_clients();
}

void Listener::accept_clients() {
  bool lack_logged = false;
  while (true) {
    // Failure: client connections use up all descriptors. Symptom: none is left for connections to engines.
    // Guard: no more are accepted than there are slots; the dispatcher closes idle ones before that.
    dispatch::Reservation slot;
    if (!session_slots_.try_reserve(slot, 1)) {
      if (wait_until(now() + kRetryDelay, nullptr) == WaitResult::stopping) return;
      continue;
    }
    if (wait_until(Time::max(), &fd_) == WaitResult::stopping) return;
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    Fd connection(::accept4(fd_.get(), reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC));
    if (connection) {
      start_session(std::move(connection), peer.sin_addr.s_addr, std::move(slot));
      lack_logged = false;
      continue;
    }
    // Failure: descriptors or memory run out. Symptom: accept() fails at once, again and again. Guard: it is
    // tried again after a delay; who waits is accepted then.
    const int error = errno;
    if (is_lack_of_resources(error) && !std::exchange(lack_logged, true))
      log_.write("client connection not accepted: cause=\"no descriptor is free\"");
    if (!is_nothing_to_accept(error) && wait_until(now() + kRetryDelay, nullptr) == WaitResult::stopping)
      return;
  }
}

// Failure: a busy dispatcher delays the first read. Symptom: time limits, which count from a request's last
// byte, start late. Guard: the connection is read from here on; ClientAccepted is posted first, and so before
// its requests.
void Listener::start_session(Fd connection, std::uint64_t origin, dispatch::Reservation slot) {
  const int enabled = 1;
  setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  const dispatch::SessionId id{++last_session_};
  const auto session = std::make_shared<ClientSession>(id, std::move(connection), std::move(slot), settings_,
                                                       memory_budget_, events_, reader_pool_, log_);
  events_.post(ClientAccepted{id, origin, session});
  reader_pool_.client_poller.add(session);
}

}  // namespace yokestream::net
