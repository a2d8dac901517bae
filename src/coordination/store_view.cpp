#include "coordination/store_view.h"

#include <algorithm>

#include "coordination/store_keys.h"

namespace yokestream::coordination {

void StoreView::on_loaded(const store::Completed& completed) {
  keys_.clear();
  revision_ = completed.revision;
  if (completed.ranges.empty()) return;
  for (const auto& kv : completed.ranges.front().key_values) {
    if (keys_.size() < kMaxMembers) keys_.emplace(kv.key, kv);
  }
}

// Events at or below the view's revision are duplicates.
void StoreView::on_watch_response(const store::WatchResponse& response) {
  if (response.canceled || response.compact_revision > 0) return invalidate();
  for (const auto& event : response.events) {
    if (event.key_value.mod_revision <= revision_) continue;
    if (event.kind == store::WatchEvent::Kind::removed)
      keys_.erase(event.key_value.key);
    else if (keys_.size() < kMaxMembers || keys_.count(event.key_value.key))
      keys_[event.key_value.key] = event.key_value;
  }
  // All events of one revision arrive in one message, so the view is complete up to the highest revision.
  for (const auto& event : response.events) revision_ = std::max(revision_, event.key_value.mod_revision);
}

const store::KeyValue* StoreView::find(const std::string& key) const {
  const auto entry = keys_.find(key);
  return entry == keys_.end() ? nullptr : &entry->second;
}

}  // namespace yokestream::coordination
