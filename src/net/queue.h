// Bounded queues between threads.
#pragma once

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

#include "net/clock.h"

namespace yokestream::net {

// Many writers, one reader. A full mailbox makes its writers wait, never its reader.
template <class Event>
class EventQueue {
 public:
  explicit EventQueue(std::size_t bound) : bound_(bound) {}

  void post(Event event) {
    std::unique_lock lock(mutex_);
    ++waiting_;
    room_.wait(lock, [&] { return events_.size() < bound_ || closed_; });
    --waiting_;
    if (closed_) return;
    events_.push_back(std::move(event));
    if (events_.size() == 1) news_.notify_one();
  }
  // All that has come, as soon as there is something or `deadline` has passed.
  std::deque<Event> drain_until(Time deadline) {
    std::unique_lock lock(mutex_);
    const auto any = [&] { return !events_.empty(); };
    if (deadline == Time::max())
      news_.wait(lock, any);
    else
      news_.wait_until(lock, to_steady(deadline), any);
    std::deque<Event> taken;
    taken.swap(events_);
    room_.notify_all();
    return taken;
  }
  std::size_t blocked_writers() {  // writers that wait for room
    const std::lock_guard lock(mutex_);
    return waiting_;
  }
  void close() {  // writers wait no more; what they post is dropped
    const std::lock_guard lock(mutex_);
    closed_ = true;
    room_.notify_all();
  }

 private:
  const std::size_t bound_;
  std::mutex mutex_;
  std::condition_variable news_, room_;
  std::deque<Event> events_;
  std::size_t waiting_ = 0;
  bool closed_ = false;
};

// How many messages of one peer may wait in the mailbox. Guards all others against a peer that floods it:
// that one waits for its own messages to be taken.
class MessageCredits {
 public:
  explicit MessageCredits(std::size_t all) : capacity_(all), available_(all) {}
  bool acquire() {  // waits; false: closed
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return available_ > 0 || closed_; });
    if (closed_) return false;
    --available_;
    return true;
  }
  bool try_acquire() {  // false: none is free
    const std::lock_guard lock(mutex_);
    if (available_ == 0) return false;
    --available_;
    return true;
  }
  void release() {
    const std::lock_guard lock(mutex_);
    ++available_;
    changed_.notify_one();
  }
  bool in_use() {
    const std::lock_guard lock(mutex_);
    return available_ < capacity_;
  }
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  const std::size_t capacity_;
  std::size_t available_;
  bool closed_ = false;
};

// What waits for a thread that works it off. Never makes the one who adds to it wait: over the bound it
// refuses.
template <class Item>
class BoundedWorkQueue {
 public:
  explicit BoundedWorkQueue(std::size_t bound_bytes) : bound_(bound_bytes) {}

  bool try_push(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (closed_ || bytes_ + bytes > bound_) return false;
    bytes_ += bytes;
    items_.emplace_back(std::move(item), bytes);
    news_.notify_one();
    return true;
  }
  // The next item for the writer; nullopt once closed, or finished and empty.
  std::optional<Item> pop() {
    std::unique_lock lock(mutex_);
    news_.wait(lock, [&] { return !items_.empty() || closed_ || finishing_; });
    if (closed_ || items_.empty()) return std::nullopt;
    Item item = std::move(items_.front().first);
    bytes_ -= items_.front().second;
    items_.pop_front();
    return item;
  }
  void finish() {  // the writer ends once all is written
    const std::lock_guard lock(mutex_);
    finishing_ = true;
    news_.notify_all();
  }
  void close() {  // the writer ends now
    const std::lock_guard lock(mutex_);
    closed_ = true;
    news_.notify_all();
  }

 private:
  const std::size_t bound_;
  std::mutex mutex_;
  std::condition_variable news_;
  std::deque<std::pair<Item, std::size_t>> items_;
  std::size_t bytes_ = 0;
  bool finishing_ = false, closed_ = false;
};

}  // namespace yokestream::net
