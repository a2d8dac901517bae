// Writes the items queued for one connection, in order, without ever making the caller wait.
//
// An item that the socket accepts at once is written by the thread that adds it; what the socket does not
// accept waits here, and the poller for slow writers (given by the owner through `BlockedCallback`) writes it
// as space comes. So no connection needs a thread of its own for writing.
//
// Failure: a platform that limits a process to a part of a core by stopping it pays for each of its threads
// at each stop (docs/design/door.md). Symptom: processor time is lost with the number of connections.
// Guard: one thread writes for all slow peers.
//
// Any thread may call; mutex_ guards the state. The bound counts the bytes of queued items. The callbacks are
// called under the lock and must not call back.
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
  // Turns an item into bytes, right before its first byte is written.
  using Serialize = std::function<std::string(const Item&)>;
  // Has the poller for slow writers call this sender from now on.
  using BlockedCallback = std::function<void()>;
  // Called once the socket has all bytes of an item.
  using WrittenCallback = std::function<void(const Item&)>;
  // Until when an item may be written, checked right before its first byte (S4). An expired one is kept for
  // withdraw() to find. Between this check and the write lies nothing but the system call: a process that is
  // stopped just there writes late when it goes on (docs/design/duty.md).
  using ExpiryOf = std::function<Time(const Item&)>;
  Sender(std::size_t bound_bytes, Socket& socket, Serialize serialize, BlockedCallback on_blocked,
         WrittenCallback on_written = {}, ExpiryOf expiry_of = {})
      : bound_bytes_(bound_bytes),
        socket_(socket),
        serialize_(std::move(serialize)),
        on_blocked_(std::move(on_blocked)),
        on_written_(std::move(on_written)),
        expiry_of_(std::move(expiry_of)) {}

  // The connection is up: queued items are written, and later ones at once.
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    write_or_register();
  }
  // `bytes`: what the item counts against the bound. False: over the bound, closed or broken; the connection
  // is of no further use.
  bool add(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (!closed_ && queued_bytes_ + bytes > bound_bytes_) return false;
    items_.emplace_back(std::move(item), bytes);  // closed: it is never written, and withdraw() finds it
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
  // Has everything that was added been written?
  bool is_idle() {
    const std::lock_guard lock(mutex_);
    return is_empty();
  }
  // The write side is shut down once everything is written.
  void close_after_writes() {
    const std::lock_guard lock(mutex_);
    closing_after_writes_ = true;
    if (is_empty()) socket_.shutdown_write();
  }
  // Was close_after_writes() called?
  bool is_closing() {
    const std::lock_guard lock(mutex_);
    return closing_after_writes_;
  }
  // Was it called, and has everything been written?
  bool is_drained() {
    const std::lock_guard lock(mutex_);
    return closing_after_writes_ && is_empty();
  }
  // Nothing more is written.
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
    return PollResult::handed_over;  // the next add() writes again
  }
  Time next_due() const override { return next_due_; }
  void on_closed() override {}

 private:
  enum class WriteResult { complete, partial, broken };
  static constexpr Duration kNoBufferRetry = std::chrono::milliseconds(10);

  // Failure: the system has no buffer, so the socket is reported writable and accepts nothing. Symptom: the
  // poller's thread spins. Guard: the next attempt waits.
  PollResult retry_later() {
    next_due_ = now() + kNoBufferRetry;
    return PollResult::wait_until_due;
  }
  // The caller of each of these holds mutex_.
  bool is_empty() const { return items_.empty() && partial_write_.empty(); }
  bool write_or_register() {  // false: broken
    const WriteResult result = write_queued();
    if (result == WriteResult::partial) {
      registered_ = true;
      on_blocked_();
    }
    return result != WriteResult::broken;
  }
  // Moves the first item away if its time is over. False: it may still be written.
  bool skip_expired() {
    if (!expiry_of_ || now() < expiry_of_(items_.front().first)) return false;
    expired_.push_back(std::move(items_.front()));
    items_.pop_front();
    return true;
  }
  // Some of the first item has left, so withdraw() must not find it any more.
  void begin_item() {
    partly_written_item_ = std::move(items_.front().first);
    queued_bytes_ -= items_.front().second;
    items_.pop_front();
  }
  // Writes what the socket accepts without waiting.
  //
  // Failure: a request whose connection breaks is sent elsewhere although the engine has part of it. Symptom:
  // it runs twice. Guard: an item stays where withdraw() finds it exactly until some of it has been written.
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
      if (starts_item) begin_item();
      partial_write_ = bytes.erase(0, *written);
      if (!partial_write_.empty()) return WriteResult::partial;
      if (on_written_) on_written_(*partly_written_item_);
      partly_written_item_.reset();
    }
    if (closing_after_writes_) socket_.shutdown_write();
    return WriteResult::complete;
  }

  const std::size_t bound_bytes_;
  Socket& socket_;
  const Serialize serialize_;
  const BlockedCallback on_blocked_;
  const WrittenCallback on_written_;
  const ExpiryOf expiry_of_;
  Time next_due_ = Time::max();  // poller thread only
  std::mutex mutex_;
  // All below guarded by mutex_.
  std::deque<std::pair<Item, std::size_t>> items_;    // with their bytes
  std::deque<std::pair<Item, std::size_t>> expired_;  // never to be written
  std::optional<Item> partly_written_item_;           // kept: its reservations end once it has left
  std::string partial_write_;                         // the unwritten rest of it
  std::size_t queued_bytes_ = 0;
  bool made_progress_ = false;  // did the last write_queued() write any byte?
  bool open_ = false;
  bool registered_ = false;  // the poller writes for it
  bool closing_after_writes_ = false;
  bool closed_ = false;
};

}  // namespace yokestream::net
