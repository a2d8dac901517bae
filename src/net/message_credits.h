// Limits how many messages of one client may wait to be handled by the dispatcher.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <utility>

#include "net/client_memory.h"

namespace yokestream::net {

// A counting semaphore that can be closed. A message holds one credit from its posting to the event queue
// until the dispatcher has handled it. Any thread may call.
//
// Failure: one client floods the event queue. Symptom: the messages of all other clients are delayed.
// Guard: the thread that reads the client takes no further message until earlier ones have been handled.
class MessageCredits {
 public:
  explicit MessageCredits(std::size_t capacity) : capacity_(capacity), available_(capacity) {}
  // Blocks until a credit is available. False: closed.
  bool acquire() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [&] { return available_ > 0 || closed_; });
    if (closed_) return false;
    --available_;
    return true;
  }
  // Does not block. False: no credit is available.
  bool try_acquire() {
    const std::lock_guard lock(mutex_);
    if (available_ == 0) return false;
    --available_;
    return true;
  }
  // Keeps the charge of the message that is about to be posted until it has been handled.
  void hold(ClientMemory::Charge charge) {
    const std::lock_guard lock(mutex_);
    charges_.push_back(std::move(charge));
  }
  // The dispatcher has handled a message. It handles them in the order in which they were posted.
  void release() {
    const std::lock_guard lock(mutex_);
    if (!charges_.empty()) charges_.pop_front();
    ++available_;
    changed_.notify_one();
  }
  // True if a credit is held, so that a message has been posted and not yet handled.
  bool in_use() {
    const std::lock_guard lock(mutex_);
    return available_ < capacity_;
  }
  // From now on acquire() returns false without blocking.
  void close() {
    const std::lock_guard lock(mutex_);
    closed_ = true;
    changed_.notify_all();
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  const std::size_t capacity_;
  std::size_t available_;                     // guarded by mutex_
  bool closed_ = false;                       // guarded by mutex_
  std::deque<ClientMemory::Charge> charges_;  // guarded by mutex_; of the messages posted and not handled
};

}  // namespace yokestream::net
