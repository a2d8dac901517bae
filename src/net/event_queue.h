// The bounded queue from the I/O threads to the thread that owns the core.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

#include "net/clock.h"

namespace yokestream::net {

// Many writers, one reader. A full queue makes its writers wait, never its reader.
template <class Event>
class EventQueue {
 public:
  explicit EventQueue(std::size_t max_events) : max_events_(max_events) {}

  // Waits while the queue is full. Once closed, the event is dropped.
  void post(Event event) {
    std::unique_lock lock(mutex_);
    ++blocked_writers_;
    not_full_.wait(lock, [&] { return events_.size() < max_events_ || closed_; });
    --blocked_writers_;
    if (closed_) return;
    events_.push_back(std::move(event));
    if (events_.size() == 1) not_empty_.notify_one();
  }
  // All queued events, as soon as there is one or `deadline` has passed.
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
  // Writers that wait for space.
  std::size_t blocked_writers() {
    const std::lock_guard lock(mutex_);
    return blocked_writers_;
  }
  // Writers wait no more; what they post is dropped.
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
  std::size_t blocked_writers_ = 0;
  bool closed_ = false;
};

}  // namespace yokestream::net
