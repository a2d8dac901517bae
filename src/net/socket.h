// TCP sockets: blocking, bounded by a deadline, and without waiting.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "config/members.h"
#include "net/clock.h"

namespace yokestream::net {

// Owns a file descriptor and closes it.
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

// Makes an eventfd readable, and so wakes whoever waits on it.
void raise_event(const Fd& event);

// Why a connect failed. `local`: this machine had no descriptor, port, buffer or route for it just then,
// which says nothing about the peer, and nothing was sent.
struct ConnectFailure {
  std::string cause;
  bool local = false;
};

// A socket that one thread reads, one writes and a third may abort. The descriptor itself is closed only with
// the object, when no thread uses it any more.
class Socket {
 public:
  Socket() = default;
  explicit Socket(Fd fd) : fd_(std::move(fd)) {}

  // Waits until connected. False: see `failure`.
  bool connect(const config::Endpoint& endpoint, Time deadline, ConnectFailure* failure);
  // The same without waiting: starts; once the descriptor is writable, finish_connect() returns the outcome.
  enum class ConnectStatus { connected, pending, failed };
  ConnectStatus start_connect(const config::Endpoint& endpoint, ConnectFailure* failure);
  bool finish_connect(ConnectFailure* failure);
  // Waits until there is something to read, and leaves it in the socket. timed_out: the connection stands; it
  // may be returned a moment before `deadline`, as some kernels end a bounded wait early.
  enum class WaitResult { readable, timed_out, closed };
  WaitResult wait_readable(Time deadline);
  // Returns the number of bytes read; 0: closed, aborted, or nothing came by `deadline`.
  std::size_t read_until(char* into, std::size_t size, Time deadline);
  // The same without waiting; 0: closed or aborted; nullopt: it would block. Nothing is read after an abort:
  // what the peer sent meanwhile is reset, so that the peer learns that nobody read it.
  std::optional<std::size_t> try_read(char* into, std::size_t size);
  enum class WriteResult { all, partial, none };
  WriteResult write(std::string_view bytes);  // partial: broken, some may have left; none: nothing has
  // Writes without waiting and returns the number of bytes accepted; nullopt: the connection is broken. A
  // lack of buffers does not break it: fewer bytes are accepted, or none.
  std::optional<std::size_t> try_write(std::string_view bytes);
  int descriptor() const { return fd_.get(); }  // to wait on; not to be read, written or closed
  void abort();                                 // any thread; a blocked read or write returns
  // Has the peer closed its side, or reset the connection, though bytes of it may still be unread?
  bool peer_has_closed() const;
  // Shuts down the write side, which the peer sees. What it still sends is read and dropped, so that closing
  // the descriptor does not reset a connection on which responses are on their way.
  void shutdown_write();
  bool aborted_locally() {  // by abort(), not by the peer
    const std::lock_guard lock(mutex_);
    return aborted_;
  }
  // Aborts if no unread bytes have come and `may()` returns true; else false. No read comes between.
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
  // As recv() returns it: below 0 with errno, EAGAIN where nothing came by `deadline`.
  std::ptrdiff_t receive(char* into, std::size_t size, Time deadline, int flags);

  std::mutex mutex_;
  Fd fd_;
  bool aborted_ = false;           // guarded by mutex_
  bool write_shut_down_ = false;   // guarded by mutex_: shutdown_write() was called
  bool read_timeout_set_ = false;  // reading thread only: SO_RCVTIMEO is set
};

}  // namespace yokestream::net
