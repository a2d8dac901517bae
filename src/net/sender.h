// Writes the items queued for one connection, in order, without ever blocking the caller.
//
// The thread that adds an item writes as much of it as the socket accepts immediately. The rest is queued,
// and the poller for slow writers, which the owner registers in `BlockedCallback`, writes it when the socket
// becomes writable. So no connection needs a writer thread.
//
// Failure: one writer thread per connection, on a platform that limits a process to a part of a processor
// core by stopping it (docs/design/door.md). Symptom: each stop costs time for each thread, so processor time
// is lost in proportion to the number of connections. Guard: one thread writes for all slow peers.
//
// Any thread may call; mutex_ guards the state. The bound counts the bytes of queued items. The callbacks run
// under the lock and must not call back into the sender.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "net/poller.h"
#include "net/socket.h"

namespace yokestream::net {

template <class Item>
class Sender : public Pollable {
 public:
  // Serializes an item, right before its first byte is written.
  using Serialize = std::function<std::string(const Item&)>;
  // Registers this sender with the poller for slow writers.
  using BlockedCallback = std::function<void()>;
  // Called once the socket has accepted all bytes of an item.
  using WrittenCallback = std::function<void(const Item&)>;
  // Returns when an item expires, which is checked right before its first byte is written. An expired item is
  // never written but is kept for withdraw() to find. Only the system call lies between this check and the
  // write, but a process that is stopped exactly there writes the item late when it continues
  // (docs/design/duty.md).
  using ExpiryOf = std::function<Time(const Item&)>;
  Sender(std::size_t max_queued_bytes, Socket& socket, Serialize serialize, BlockedCallback on_blocked,
         WrittenCallback on_written = {}, ExpiryOf expiry_of = {})
      : max_queued_bytes_(max_queued_bytes),
        socket_(socket),
        serialize_(std::move(serialize)),
        on_blocked_(std::move(on_blocked)),
        on_written_(std::move(on_written)),
        expiry_of_(std::move(expiry_of)) {}

  // Called when the connection is established. Writes the queued items, and later ones when added.
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    write_or_register();
  }
  // `bytes` is the item's size as counted against the bound. Returns false if the queue is full, closed or
  // broken; the connection is then unusable.
  bool add(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (!closed_ && queued_bytes_ + bytes > max_queued_bytes_) return false;
    items_.emplace_back(std::move(item), bytes);  // if closed: only for withdraw() to find
    queued_bytes_ += bytes;
    return !closed_ && (!open_ || registered_ || write_or_register());
  }
  // Removes an item of which nothing has been written. False: there is no such item.
  template <class Match>
  bool withdraw(Match match) {
    const std::lock_guard lock(mutex_);
    for (auto* list : {&items_, &expired_}) {
      const auto it =
          std::find_if(list->begin(), list->end(), [&](const auto& entry) { return match(entry.first); });
      if (it == list->end()) continue;
      queued_bytes_ -= it->second;
      list->erase(it);
      return true;
    }
    return false;
  }
  // True if all added items have been written.
  bool is_idle() {
    const std::lock_guard lock(mutex_);
    return is_empty();
  }
  // Shuts down the write side once all items have been written.
  void close_after_writes() {
    const std::lock_guard lock(mutex_);
    closing_after_writes_ = true;
    if (is_empty()) socket_.shutdown_write();
  }
  // True once close_after_writes() has been called.
  bool is_closing() {
    const std::lock_guard lock(mutex_);
    return closing_after_writes_;
  }
  // True once it has been called and all items have been written.
  bool is_drained() {
    const std::lock_guard lock(mutex_);
    return closing_after_writes_ && is_empty();
  }
  // Stops writing.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }

  // For the thread of the poller for slow writers.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time, bool) override {
    const std::lock_guard lock(mutex_);
    next_due_ = Time::max();
    if (!closed_ && write_queued() == WriteResult::partial)
      return made_progress_ ? PollResult::wait_writable : retry_later();
    registered_ = false;
    return PollResult::handed_over;  // add() writes again from now on
  }
  Time next_due() const override { return next_due_; }
  void on_closed() override {}

 private:
  enum class WriteResult { complete, partial, broken };
  static constexpr Duration kNoBufferRetry = std::chrono::milliseconds(10);

  // Failure: the kernel lacks buffers, so the socket is reported as writable but accepts no bytes. Symptom:
  // the poller's thread spins. Guard: the next attempt is delayed.
  PollResult retry_later() {
    next_due_ = now() + kNoBufferRetry;
    return PollResult::wait_until_due;
  }
  // The caller of each function below holds mutex_.
  bool is_empty() const { return items_.empty() && partial_write_.empty(); }
  bool write_or_register() {  // false: the connection is broken
    const WriteResult result = write_queued();
    if (result == WriteResult::partial) {
      registered_ = true;
      on_blocked_();
    }
    return result != WriteResult::broken;
  }
  // Moves the first item to the expired ones if it has expired. False: it may still be written.
  bool skip_expired() {
    if (!expiry_of_ || now() < expiry_of_(items_.front().first)) return false;
    expired_.push_back(std::move(items_.front()));
    items_.pop_front();
    return true;
  }
  // Removes the first item, of which some bytes have been written, so that withdraw() no longer finds it.
  void move_to_partly_written() {
    partly_written_item_ = std::move(items_.front().first);
    queued_bytes_ -= items_.front().second;
    items_.pop_front();
  }
  // Writes what the socket accepts without blocking.
  //
  // Failure: a request whose connection breaks is sent to another engine although the first one has received
  // part of it. Symptom: it runs twice. Guard: withdraw() finds an item exactly until its first byte has been
  // written.
  WriteResult write_queued() {
    made_progress_ = false;
    while (!is_empty()) {
      const bool starts_item = partial_write_.empty();
      if (starts_item && skip_expired()) continue;
      std::string bytes = starts_item ? serialize_(items_.front().first) : std::exchange(partial_write_, {});
      const auto written = socket_.try_write(bytes);
      if (!written) {
        socket_.abort();
        return WriteResult::broken;
      }
      made_progress_ = made_progress_ || *written > 0;
      if (starts_item && *written == 0) return WriteResult::partial;
      if (starts_item) move_to_partly_written();
      partial_write_ = bytes.erase(0, *written);
      if (!partial_write_.empty()) return WriteResult::partial;
      if (on_written_) on_written_(*partly_written_item_);
      partly_written_item_.reset();
    }
    if (closing_after_writes_) socket_.shutdown_write();
    return WriteResult::complete;
  }

  const std::size_t max_queued_bytes_;
  Socket& socket_;
  const Serialize serialize_;
  const BlockedCallback on_blocked_;
  const WrittenCallback on_written_;
  const ExpiryOf expiry_of_;
  Time next_due_ = Time::max();  // used by the poller's thread only
  std::mutex mutex_;
  // All below guarded by mutex_.
  std::deque<std::pair<Item, std::size_t>> items_;    // with their sizes in bytes
  std::deque<std::pair<Item, std::size_t>> expired_;  // never written
  std::optional<Item> partly_written_item_;           // keeps its reservations until it is written
  std::string partial_write_;                         // its unwritten bytes
  std::size_t queued_bytes_ = 0;
  bool made_progress_ = false;  // the last write_queued() has written a byte
  bool open_ = false;
  bool registered_ = false;  // with the poller for slow writers
  bool closing_after_writes_ = false;
  bool closed_ = false;
};

}  // namespace yokestream::net
