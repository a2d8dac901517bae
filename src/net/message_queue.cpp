#include "net/message_queue.h"

#include <algorithm>
#include <optional>

namespace yokestream::net {
namespace {

// Returns the id of a message that is to be answered; nullopt: it is a notification.
std::optional<std::uint64_t> request_id(const protocol::ClientMessage& message) {
  if (const auto* call = std::get_if<protocol::Call>(&message)) return call->id;
  if (const auto* bad = std::get_if<protocol::BadCall>(&message)) return bad->id;
  if (const auto* probe = std::get_if<protocol::Probe>(&message)) return probe->id;
  return std::nullopt;
}

}  // namespace

bool MessageQueue::remove_request(std::uint64_t id) {
  const auto it = std::find_if(entries_.begin(), entries_.end(),
                               [&](const Entry& entry) { return request_id(entry.message) == id; });
  if (it == entries_.end()) return false;
  entries_.erase(it);
  return true;
}

std::vector<std::uint64_t> MessageQueue::remove_requests() {
  std::vector<std::uint64_t> removed;
  std::deque<Entry> kept;
  for (Entry& entry : entries_) {
    if (const auto id = request_id(entry.message))
      removed.push_back(*id);
    else
      kept.push_back(std::move(entry));
  }
  entries_.swap(kept);
  return removed;
}

void MessageQueue::push(Entry entry) {
  const auto* cancel = std::get_if<protocol::CancelCall>(&entry.message);
  if (cancel && remove_request(cancel->id)) return;
  entries_.push_back(std::move(entry));
}

}  // namespace yokestream::net
