// Messages of one client that have been read and not handed to the core yet, in their order.
//
// A request that its client gives up while it waits here never reaches the core, so it is sent to no engine
// however long the core was busy or the process stood still. Pure; owned by whoever reads the client. Memory:
// kMost messages, which come out of a few reads.
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
    Time arrived{};  // its last byte
  };

  bool is_empty() const { return entries_.empty(); }
  bool is_full() const { return entries_.size() >= kMaxMessages; }
  void push(protocol::ClientMessage message, Time arrived);
  Entry pop() {  // must not be empty
    Entry first = std::move(entries_.front());
    entries_.pop_front();
    return first;
  }

 private:
  bool remove(std::uint64_t id);

  std::deque<Entry> entries_;
};

}  // namespace yokestream::net
