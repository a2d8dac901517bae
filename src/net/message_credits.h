// Limits how many messages of one client may wait for the core.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>

namespace yokestream::net {

// A counting semaphore with a close. One credit is held by each message from its posting to the event queue
// until the core has handled it. Any thread may call.
//
// Failure: one client floods the event queue. Symptom: all other clients wait behind its messages.
// Guard: whoever reads that client waits here for its own messages to be handled.
class MessageCredits {
 public:
  explicit MessageCredits(std::size_t capacity) : capacity_(capacity), available_(capacity) {}
  // Waits for a credit. False: closed.
  bool acquire() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return available_ > 0 || closed_; });
    if (closed_) return false;
    --available_;
    return true;
  }
  // Does not wait. False: no credit is available.
  bool try_acquire() {
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
  // Is any credit held, so that a message is on its way to the core?
  bool in_use() {
    const std::lock_guard lock(mutex_);
    return available_ < capacity_;
  }
  // From now on acquire() does not wait and returns false.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  const std::size_t capacity_;
  std::size_t available_;  // guarded by mutex_
  bool closed_ = false;    // guarded by mutex_
};

}  // namespace yokestream::net
