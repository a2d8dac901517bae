// Messages of one client that have been read and not posted to the core yet, in order.
//
// A request that its client cancels while it is queued here never reaches the core, so it is sent to no
// engine however long the core was busy or the process was stopped. Pure; owned by whoever reads the client.
// Memory: kMaxMessages messages, decoded from a few reads.
#pragma once

#include <deque>
#include <utility>

#include "net/clock.h"
#include "protocol/msgpack_rpc.h"

namespace yokestream::net {

class MessageQueue {
 public:
  static constexpr std::size_t kMaxMessages = 64;
  struct Entry {
    protocol::ClientMessage message;
    Time arrived{};  // when its last byte was read
  };

  bool is_empty() const { return entries_.empty(); }
  bool is_full() const { return entries_.size() >= kMaxMessages; }
  // A cancellation removes its queued request, and then neither is posted.
  void push(protocol::ClientMessage message, Time arrived);
  Entry pop() {  // precondition: not empty
    Entry first = std::move(entries_.front());
    entries_.pop_front();
    return first;
  }

 private:
  bool remove(std::uint64_t id);  // false: no such request is queued

  std::deque<Entry> entries_;
};

}  // namespace yokestream::net
