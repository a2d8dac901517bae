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

constexpr Duration kRetryDelay = std::chrono::milliseconds(10);  // while no slot or descriptor is free

bool is_resource_shortage(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
}

// The client has disconnected before accept(), or no client is waiting.
bool is_no_client(int error) { return error == EAGAIN || error == EINTR || error == ECONNABORTED; }

}  // namespace

Listener::Listener(const config::Config& config, const AcceptGate& gate, dispatch::Budget& session_slots,
                   dispatch::Budget& client_memory_budget, DispatcherQueue& events, ReaderPool& reader_pool,
                   dispatch::Log& log)
    : fd_(config.listen_fd ? inherited_listener(*config.listen_fd) : listen_on(config.listen)),
      stop_event_(::eventfd(0, EFD_CLOEXEC)),
      gate_(gate),
      settings_(config.real),
      client_memory_budget_(client_memory_budget),
      session_slots_(session_slots),
      events_(events),
      reader_pool_(reader_pool),
      log_(log) {
  if (!stop_event_ || ::fcntl(fd_.get(), F_SETFL, O_NONBLOCK) != 0)
    throw std::system_error(errno, std::generic_category(), "cannot prepare the listening socket");
  thread_ = Thread("listener", kSmallStackBytes, [this] { run(); });
}

Listener::~Listener() { raise_event(stop_event_); }

// Failure: on some platforms a thread that blocks in accept() cannot be woken when its listener is to stop.
// Symptom: the destructor hangs. Guard: the thread polls the socket and stop_event_ together.
Listener::WaitResult Listener::wait_until(Time deadline, const Fd* readable) {
  pollfd polled[] = {{stop_event_.get(), POLLIN, 0}, {readable ? readable->get() : -1, POLLIN, 0}};
  ::poll(polled, readable ? 2 : 1, milliseconds_until(deadline));
  return (polled[0].revents & POLLIN) == 0 ? WaitResult::ready : WaitResult::stopping;
}

void Listener::run() {
  // A wait may be interrupted before the gate is open, and until it is, another process may serve this
  // socket.
  while (!gate_.is_open()) {
    if (wait_until(Time::max(), &gate_.opened_event()) == WaitResult::stopping) return;
  }
  accept_clients();
}

void Listener::accept_clients() {
  bool shortage_logged = false;
  while (true) {
    // Failure: client connections use up all descriptors. Symptom: none is left for connections to engines.
    // Guard: no more clients are accepted than there are slots; the dispatcher closes idle connections
    // earlier.
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
      shortage_logged = false;
      continue;
    }
    // Failure: descriptors or memory run out. Symptom: accept() fails immediately, in a busy loop. Guard: it
    // is retried after a delay; waiting clients are accepted then.
    const int error = errno;
    if (is_resource_shortage(error) && !std::exchange(shortage_logged, true))
      log_.write("client connection not accepted: cause=\"out of descriptors or memory\"");
    if (!is_no_client(error) && wait_until(now() + kRetryDelay, nullptr) == WaitResult::stopping) return;
  }
}

// Failure: a busy dispatcher delays the first read of a connection. Symptom: deadlines, which count from a
// request's last byte, start late. Guard: the client poller reads the connection from here on. ClientAccepted
// is posted first, so the dispatcher sees it before the client's requests.
void Listener::start_session(Fd connection, std::uint64_t origin, dispatch::Reservation slot) {
  const int enabled = 1;
  setsockopt(connection.get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  const dispatch::SessionId id{++last_session_};
  const auto session = std::make_shared<ClientSession>(id, std::move(connection), std::move(slot), settings_,
                                                       client_memory_budget_, events_, reader_pool_, log_);
  events_.post(ClientAccepted{id, origin, session});
  reader_pool_.client_poller.add(session);
}

}  // namespace yokestream::net
