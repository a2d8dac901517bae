// Blocking TCP sockets.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/members.h"
#include "net/clock.h"

namespace yokestream::net {

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }
  ~Fd();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// Makes an eventfd readable: whoever waits on it goes on.
void raise_event(const Fd& event);

// Why a connection did not come up. `local`: this machine had no descriptor, port, buffer or route for it
// just then, which tells nothing of the peer, and nothing has left.
struct ConnectFailure {
  std::string why;
  bool local = false;
};

// A connected socket that one thread reads, one writes and a third may break off. The descriptor itself is
// closed only with the object, when no thread uses it any more.
class Socket {
 public:
  Socket() = default;
  explicit Socket(Fd fd) : fd_(std::move(fd)) {}

  bool connect(const config::Endpoint& endpoint, Time deadline, ConnectFailure* failure);
  // The same without waiting: begins, and once the descriptor can be written tells how it went.
  enum class ConnectStatus { connected, pending, failed };
  ConnectStatus start_connect(const config::Endpoint& endpoint, ConnectFailure* failure);
  bool finish_connect(ConnectFailure* failure);
  // Waits until there is something to read; it stays in the socket. `nothing`: none came, and the connection
  // stands; it may be told a moment before `deadline`, as some kernels end a bounded wait early.
  enum class WaitResult { readable, timed_out, closed };
  WaitResult wait_readable(Time deadline);
  // The bytes that came; 0: the end, or broken off, or nothing came by `deadline`.
  std::size_t read_until(char* into, std::size_t size, Time deadline);
  // The same without waiting: what lies in the socket; 0: the end, or broken off; nullopt: nothing yet.
  // Nothing is read once it is broken off: what the peer sent meanwhile is reset, so that it knows that
  // nobody took it.
  std::optional<std::size_t> try_read(char* into, std::size_t size);
  enum class WriteResult { all, partial, none };
  WriteResult write(std::string_view bytes);  // some: broken, and some of it may have left; none: nothing has
  // What the socket takes without waiting, in bytes; nullopt: it is broken. A lack of buffers is no break: it
  // takes less, or nothing, for now.
  std::optional<std::size_t> try_write(std::string_view bytes);
  int descriptor() const { return fd_.get(); }  // to wait on; not to be read, written or closed
  void abort();                                 // whoever reads or writes returns
  // Has the peer closed its side, or reset the connection, though bytes of it may still be unread?
  bool peer_has_closed() const;
  // Nothing more is written, and the peer learns that. What it still sends is read and dropped, so that
  // closing the descriptor does not reset a connection on which answers are on their way.
  void shutdown_write();
  bool aborted_locally() {  // by break_off(), not by the peer
    const std::lock_guard lock(mutex_);
    return aborted_;
  }
  // The same where no bytes have come that no one has read, and `may` agrees; else false. No read comes
  // between.
  template <class May>
  bool abort_if_nothing_unread(May may) {
    const std::lock_guard lock(mutex_);
    if (has_unread_bytes() || !may()) return false;
    abort_locked();
    return true;
  }

 private:
  bool has_unread_bytes() const;
  void abort_locked();
  // As recv() tells it: below 0 with errno, EAGAIN where nothing came by `deadline`.
  std::ptrdiff_t receive(char* into, std::size_t size, Time deadline, int flags);

  std::mutex mutex_;
  Fd fd_;
  bool aborted_ = false;
  bool write_shut_down_ = false;   // guarded: finish_writing() was called
  bool read_timeout_set_ = false;  // the reader's own: does a deadline bound its reads?
};

Fd listen_on(const config::Endpoint& endpoint);  // throws std::system_error
bool is_listener(int fd);                        // an open TCP socket that listens?
// A descriptor of our own of a listening socket that was handed down. Throws std::system_error.
Fd inherited_listener(int fd);
config::Endpoint local_endpoint(const Fd& fd);

}  // namespace yokestream::net
