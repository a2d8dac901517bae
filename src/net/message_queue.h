// A FIFO queue of one client's messages that have been decoded but not yet posted to the dispatcher.
//
// A request that is cancelled while it is queued here never reaches the dispatcher. So it is sent to no
// engine, however long the dispatcher was busy or the process was stopped. Does no I/O; owned by the thread
// that reads the client. Memory: at most kMaxMessages messages, each charged to its client.
#pragma once

#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "net/client_memory.h"
#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

class MessageQueue {
 public:
  static constexpr std::size_t kMaxMessages = 64;
  struct Entry {
    protocol::ClientMessage message;
    Time arrived{};  // arrival time of its last byte
    ClientMemory::Charge charge;
  };

  bool is_empty() const { return entries_.empty(); }
  bool is_full() const { return entries_.size() >= kMaxMessages; }
  void push(Entry entry) { entries_.push_back(std::move(entry)); }
  void push_first(Entry entry) { entries_.push_front(std::move(entry)); }
  bool remove_request(std::uint64_t id);  // false: no such request is queued
  // Removes all requests and returns their ids, in order. Cancellations stay queued.
  std::vector<std::uint64_t> remove_requests();
  Entry pop() {  // precondition: not empty
    Entry first = std::move(entries_.front());
    entries_.pop_front();
    return first;
  }

 private:
  std::deque<Entry> entries_;
};

}  // namespace yokestream::net
