// What is to be written on one connection.
//
// Owns the order of what leaves. An item that the socket takes at once is written by who adds it, without
// waiting; what a slow peer's socket does not take waits here, and the thread that writes for all slow peers
// (a Poller, given by the owner) writes it on as room comes. So no connection needs a thread to be written,
// and none is lost where no thread can be had. Never makes who adds wait. Guards the processor time: a
// platform that holds a process to a part of a core by stopping it pays for each of its threads at each stop
// (docs/design/door.md).
//
// Any thread may call; the bound counts bytes that wait, the items being those of `Item`. `Word` turns an
// item into bytes as it leaves, and `Slow` is to have the poller look at this sender from now on; both are
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
  using Word = std::function<std::string(const Item&)>;
  using Slow = std::function<void()>;
  using Whole =
      std::function<void(const Item&)>;  // called, under the lock, once the socket has all of an item
  // Until when an item may leave, looked at right before its first byte (S4). One that is too late is left
  // for withdraw() to find. Between this look and the write lies nothing but the system's call: a process
  // that is stopped just there writes late when it goes on (docs/design/duty.md).
  using Until = std::function<Time(const Item&)>;
  Sender(std::size_t bound_bytes, Socket& socket, Word word, Slow slow, Whole whole = {}, Until until = {})
      : bound_(bound_bytes),
        socket_(socket),
        word_(std::move(word)),
        slow_(std::move(slow)),
        whole_(std::move(whole)),
        until_(std::move(until)) {}

  // The connection is up: what waits leaves, and what comes from now on leaves at once.
  void open() {
    const std::lock_guard lock(mutex_);
    open_ = true;
    write_or_watch();
  }
  // False: over the bound, closed or broken; the connection is of no further use.
  bool add(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (!closed_ && bytes_ + bytes > bound_) return false;
    items_.emplace_back(std::move(item), bytes);  // closed: nothing of it leaves, for withdraw() to find
    bytes_ += bytes;
    return !closed_ && (!open_ || watched_ || write_or_watch());
  }
  // Takes back an item of which nothing has been written.
  template <class Match>
  bool withdraw(Match match) {
    const std::lock_guard lock(mutex_);
    for (auto* list : {&items_, &late_}) {
      const auto it =
          std::find_if(list->begin(), list->end(), [&](const auto& entry) { return match(entry.first); });
      if (it == list->end()) continue;
      bytes_ -= it->second;
      list->erase(it);
      return true;
    }
    return false;
  }
  bool is_idle() {  // all that was added has left
    const std::lock_guard lock(mutex_);
    return left();
  }
  void close_after_writes() {  // the connection ends once all is written
    const std::lock_guard lock(mutex_);
    finishing_ = true;
    if (left()) socket_.shutdown_write();
  }
  bool is_closing() {  // finish() was called
    const std::lock_guard lock(mutex_);
    return finishing_;
  }
  bool is_drained() {  // and all has left
    const std::lock_guard lock(mutex_);
    return finishing_ && left();
  }
  void close() {  // nothing more leaves
    const std::lock_guard lock(mutex_);
    closed_ = true;
  }

  // For the thread that writes for slow peers.
  int descriptor() const override { return socket_.descriptor(); }
  PollResult on_ready(Time, bool) override {
    const std::lock_guard lock(mutex_);
    due_ = Time::max();
    if (!closed_ && write_on() == Went::in_part) return wrote_ ? PollResult::wait_writable : look_later();
    watched_ = false;
    return PollResult::handed_over;  // by who adds
  }
  Time next_due() const override { return due_; }
  void on_closed() override {}

 private:
  enum class Went { all, in_part, broken };
  static constexpr Duration kNoBuffer = std::chrono::milliseconds(10);

  // Guards the processor where the system has no buffer: the socket could be written, and takes nothing.
  PollResult look_later() {
    due_ = now() + kNoBuffer;
    return PollResult::wait_until_due;
  }
  // All under the lock.
  bool left() const { return items_.empty() && begun_.empty(); }
  bool write_or_watch() {  // false: broken
    const Went went = write_on();
    if (went == Went::in_part) watched_ = true, slow_();
    return went != Went::broken;
  }
  // Writes what the socket takes without waiting. Guards what must not run twice: an item stays where
  // withdraw() finds it until some of it has left, so what stays there when the connection breaks may be sent
  // elsewhere.
  Went write_on() {
    wrote_ = false;
    while (!left()) {
      const bool fresh = begun_.empty();
      if (fresh && until_ && now() >= until_(items_.front().first)) {
        late_.push_back(std::move(items_.front()));
        items_.pop_front();
        continue;
      }
      std::string bytes = fresh ? word_(items_.front().first) : std::exchange(begun_, {});
      const auto written = socket_.try_write(bytes);
      if (!written) return socket_.abort(), Went::broken;
      wrote_ = wrote_ || *written > 0;
      if (fresh && *written == 0) return Went::in_part;
      if (fresh) {
        writing_ = std::move(items_.front().first);
        bytes_ -= items_.front().second;
        items_.pop_front();
      }
      begun_ = bytes.erase(0, *written);
      if (!begun_.empty()) return Went::in_part;
      if (whole_) whole_(*writing_);
      writing_.reset();
    }
    if (finishing_) socket_.shutdown_write();
    return Went::all;
  }

  const std::size_t bound_;
  Socket& socket_;
  const Word word_;
  const Slow slow_;
  const Whole whole_;
  const Until until_;
  std::mutex mutex_;
  std::deque<std::pair<Item, std::size_t>> items_, late_;  // late_: that will not leave any more
  std::optional<Item> writing_;  // left in part: what it holds is given back once it has left
  std::string begun_;            // the rest of it
  std::size_t bytes_ = 0;
  Time due_ = Time::max();  // the poller's thread only
  bool wrote_ = false;      // the last time that something could leave, some of it did
  bool open_ = false, watched_ = false, finishing_ = false, closed_ = false;
};

}  // namespace yokestream::net
