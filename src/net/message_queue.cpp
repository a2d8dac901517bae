#include "net/message_queue.h"

#include <algorithm>

namespace yokestream::net {
namespace {

bool is_request(const protocol::ClientMessage& message, std::uint64_t id) {
  if (const auto* call = std::get_if<protocol::Call>(&message)) return call->id == id;
  if (const auto* bad = std::get_if<protocol::BadCall>(&message)) return bad->id == id;
  return false;
}

}  // namespace

bool MessageQueue::remove_request(std::uint64_t id) {
  const auto it = std::find_if(entries_.begin(), entries_.end(),
                               [&](const Entry& entry) { return is_request(entry.message, id); });
  if (it == entries_.end()) return false;
  entries_.erase(it);
  return true;
}

void MessageQueue::push(Entry entry) {
  const auto* cancel = std::get_if<protocol::CancelCall>(&entry.message);
  if (cancel && remove_request(cancel->id)) return;
  entries_.push_back(std::move(entry));
}

}  // namespace yokestream::net
