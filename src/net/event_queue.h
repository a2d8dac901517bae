// The bounded queue from the I/O threads to the dispatcher's thread.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

#include "net/clock.h"

namespace yokestream::net {

// Multiple producers, one consumer. Producers block while the queue is full; the consumer never blocks on
// them.
template <class Event>
class EventQueue {
 public:
  explicit EventQueue(std::size_t max_events) : max_events_(max_events) {}

  // Blocks while the queue is full. Drops the event if the queue is closed.
  void post(Event event) {
    std::unique_lock lock(mutex_);
    ++blocked_producers_;
    not_full_.wait(lock, [&] { return events_.size() < max_events_ || closed_; });
    --blocked_producers_;
    if (closed_) return;
    events_.push_back(std::move(event));
    if (events_.size() == 1) not_empty_.notify_one();
  }
  // Waits until there is an event or `deadline` has passed, and returns all queued events.
  std::deque<Event> drain_until(Time deadline) {
    std::unique_lock lock(mutex_);
    const auto has_events = [&] { return !events_.empty(); };
    if (deadline == Time::max())
      not_empty_.wait(lock, has_events);
    else
      not_empty_.wait_until(lock, to_steady(deadline), has_events);
    std::deque<Event> drained;
    drained.swap(events_);
    not_full_.notify_all();
    return drained;
  }
  // The number of producers that wait for space.
  std::size_t blocked_producers() {
    const std::lock_guard lock(mutex_);
    return blocked_producers_;
  }
  // Unblocks the producers. Events posted from now on are dropped.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    not_full_.notify_all();
  }

 private:
  const std::size_t max_events_;
  std::mutex mutex_;
  std::condition_variable not_empty_;
  std::condition_variable not_full_;
  // All guarded by mutex_.
  std::deque<Event> events_;
  std::size_t blocked_producers_ = 0;
  bool closed_ = false;
};

}  // namespace yokestream::net
