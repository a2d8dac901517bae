// A queue of work items for one thread, bounded in bytes.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace yokestream::net {

// Multiple producers, one consumer. Owns the items until they are popped. Producers never block: an item that
// would exceed the bound is rejected.
template <class Item>
class BoundedWorkQueue {
 public:
  explicit BoundedWorkQueue(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  // `bytes` is the item's size as counted against the bound. Returns false if the queue is full or closed.
  bool try_push(Item item, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    if (closed_ || queued_bytes_ + bytes > max_bytes_) return false;
    queued_bytes_ += bytes;
    items_.emplace_back(std::move(item), bytes);
    changed_.notify_one();
    return true;
  }
  // Blocks until there is an item. Returns nullopt once the queue is closed, or finished and empty.
  std::optional<Item> pop() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return !items_.empty() || closed_ || finishing_; });
    if (closed_ || items_.empty()) return std::nullopt;
    Item item = std::move(items_.front().first);
    queued_bytes_ -= items_.front().second;
    items_.pop_front();
    return item;
  }
  // Makes pop() return nullopt once the remaining items have been popped.
  void finish() {
    const std::lock_guard lock(mutex_);
    finishing_ = true;
    changed_.notify_all();
  }
  // Makes pop() return nullopt from now on; queued items are dropped.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

 private:
  const std::size_t max_bytes_;
  std::mutex mutex_;
  std::condition_variable changed_;
  // All guarded by mutex_.
  std::deque<std::pair<Item, std::size_t>> items_;  // with their sizes in bytes
  std::size_t queued_bytes_ = 0;
  bool finishing_ = false;
  bool closed_ = false;
};

}  // namespace yokestream::net
