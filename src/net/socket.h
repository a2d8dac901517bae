// TCP sockets with blocking calls, calls bounded by a deadline, and non-blocking calls.
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

// Makes an eventfd readable and so wakes the threads that poll it.
void raise_event(const Fd& event);

// Why a connect failed. `local` is true if this machine lacked a descriptor, port, buffer or route at that
// moment: nothing was sent, and the failure says nothing about the peer.
struct ConnectFailure {
  std::string cause;
  bool local = false;
};

// A socket that one thread may read, another may write and a third may abort. The descriptor is closed only
// by the destructor, when no thread uses it any more.
class Socket {
 public:
  Socket() = default;
  explicit Socket(Fd fd) : fd_(std::move(fd)) {}

  // Blocks until connected. On failure returns false and sets `failure`.
  bool connect(const config::Endpoint& endpoint, Time deadline, ConnectFailure* failure);
  // Starts a non-blocking connect. If it is pending, finish_connect() returns the outcome once the descriptor
  // is writable.
  enum class ConnectStatus { connected, pending, failed };
  ConnectStatus start_connect(const config::Endpoint& endpoint, ConnectFailure* failure);
  bool finish_connect(ConnectFailure* failure);
  // Blocks until there are bytes to read, and does not consume them. timed_out: the connection is still open.
  // It may be returned shortly before `deadline`, because some kernels end a bounded wait early.
  enum class WaitResult { readable, timed_out, closed };
  WaitResult wait_readable(Time deadline);
  // Returns the number of bytes read; 0 if the connection is closed or aborted, or `deadline` has passed.
  std::size_t read_until(char* into, std::size_t size, Time deadline);
  // Reads without blocking. 0: closed or aborted; nullopt: it would block. After an abort nothing is read, so
  // that unread bytes make the kernel reset the connection and the peer learns that nobody read them.
  std::optional<std::size_t> try_read(char* into, std::size_t size);
  enum class WriteResult { all, partial, none };
  // Blocks until all bytes are written. partial: the connection broke, and some bytes may have been sent;
  // none: it broke before any byte was sent.
  WriteResult write(std::string_view bytes);
  // Writes without blocking and returns the number of bytes accepted; nullopt if the connection is broken. If
  // the kernel lacks buffers, fewer bytes or none are accepted, and the connection stays open.
  std::optional<std::size_t> try_write(std::string_view bytes);
  int descriptor() const { return fd_.get(); }  // for polling only
  void abort();                                 // any thread; unblocks blocked reads and writes
  // True if the peer has closed its side or reset the connection, even if bytes are still unread.
  bool peer_has_closed() const;
  // Shuts down the write side, which the peer sees as the end of the stream. try_read() then discards what
  // the peer still sends, so that closing the descriptor does not reset a connection whose last responses are
  // in transit.
  void shutdown_write();
  bool aborted_locally() {  // true after abort(), false if only the peer has closed
    const std::lock_guard lock(mutex_);
    return aborted_;
  }
  // Shuts down the write side and returns true if there are no unread bytes and `may_shut_down()` returns
  // true. No try_read() can run between the check and the shutdown.
  template <class MayShutDown>
  bool shutdown_write_if_nothing_unread(MayShutDown may_shut_down) {
    const std::lock_guard lock(mutex_);
    if (has_unread_bytes() || !may_shut_down()) return false;
    shutdown_write_locked();
    return true;
  }

  std::size_t unread_bytes() const;
  bool has_unread_bytes() const { return unread_bytes() > 0; }

 private:
  void abort_locked();
  void shutdown_write_locked();
  // Returns the result of recv(): -1 with errno set on an error, EAGAIN if `deadline` has passed.
  std::ptrdiff_t receive(char* into, std::size_t size, Time deadline, int flags);

  std::mutex mutex_;
  Fd fd_;
  bool aborted_ = false;           // guarded by mutex_
  bool write_shut_down_ = false;   // guarded by mutex_
  bool read_timeout_set_ = false;  // used by the reading thread only: SO_RCVTIMEO is set
};

}  // namespace yokestream::net
