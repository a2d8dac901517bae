// The call numbers of one client that are accepted and not yet answered or cancelled.
#pragma once

#include <cstdint>
#include <mutex>
#include <set>

namespace yokestream::net {

// Thread-safe: the thread that reads the client adds and cancels, the dispatcher's thread answers. Memory:
// bounded by the messages that may be queued, posted or open (message_queue.h, message_credits.h,
// dispatch/client_sessions.h).
class OpenCalls {
 public:
  bool contains(std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    return numbers_.count(number) > 0;
  }
  // Returns the number of calls that are open now.
  std::size_t add(std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    numbers_.insert(number);
    return numbers_.size();
  }
  std::size_t size() {
    const std::lock_guard lock(mutex_);
    return numbers_.size();
  }
  // Runs `respond`, which queues the call's response, and closes the call. Other threads find the call open
  // until both are done. `respond` must not call back.
  template <class Respond>
  void answer(std::uint64_t number, Respond respond) {
    const std::lock_guard lock(mutex_);
    respond();
    numbers_.erase(number);
  }
  // The call is cancelled or fails. False: it was not open.
  bool remove(std::uint64_t number) {
    const std::lock_guard lock(mutex_);
    return numbers_.erase(number) > 0;
  }

 private:
  std::mutex mutex_;
  std::set<std::uint64_t> numbers_;  // guarded by mutex_
};

}  // namespace yokestream::net
