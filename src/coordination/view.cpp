#include "coordination/view.h"

#include <algorithm>

#include "coordination/names.h"

namespace yokestream::coordination {

void StoreView::on_loaded(const store::Completed& done) {
  keys_.clear();
  revision_ = done.revision;
  if (done.ranges.empty()) return;
  for (const auto& kv : done.ranges.front().key_values) {
    if (keys_.size() < kMaxMembers) keys_.emplace(kv.key, kv);
  }
}

// By each key's own revision: what a repeated or late event says of it is known already.
void StoreView::on_watch_response(const store::WatchResponse& watched) {
  if (watched.canceled || watched.compact_revision > 0) return invalidate();
  for (const auto& event : watched.events) {
    if (event.key_value.mod_revision <= revision_) continue;
    if (event.kind == store::WatchEvent::Kind::removed)
      keys_.erase(event.key_value.key);
    else if (keys_.size() < kMaxMembers || keys_.count(event.key_value.key))
      keys_[event.key_value.key] = event.key_value;
  }
  // events of one revision may come in one message only, so all up to it are known now
  for (const auto& event : watched.events) revision_ = std::max(revision_, event.key_value.mod_revision);
}

const store::KeyValue* StoreView::find(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second;
}

}  // namespace yokestream::coordination
