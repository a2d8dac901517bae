#include "net/message_queue.h"

#include <algorithm>

namespace yokestream::net {

bool MessageQueue::remove_request(std::uint64_t id) {
  const auto it = std::find_if(entries_.begin(), entries_.end(),
                               [&](const Entry& entry) { return protocol::call_id(entry.message) == id; });
  if (it == entries_.end()) return false;
  entries_.erase(it);
  return true;
}

std::vector<std::uint64_t> MessageQueue::remove_requests() {
  std::vector<std::uint64_t> removed;
  std::deque<Entry> kept;
  for (Entry& entry : entries_) {
    if (const auto id = protocol::call_id(entry.message))
      removed.push_back(*id);
    else
      kept.push_back(std::move(entry));
  }
  entries_.swap(kept);
  return removed;
}

}  // namespace yokestream::net
