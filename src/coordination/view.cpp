#include "coordination/view.h"

#include <algorithm>

#include "coordination/names.h"

namespace yokestream::coordination {

void View::took(const store::Done& done) {
  keys_.clear();
  revision_ = done.revision;
  if (done.ranges.empty()) return;
  for (const auto& kv : done.ranges.front().all) {
    if (keys_.size() < kMostProcesses) keys_.emplace(kv.key, kv);
  }
}

// By each key's own revision: what a repeated or late event says of it is known already.
void View::heard(const store::Watched& watched) {
  if (watched.canceled || watched.compacted > 0) return lost();
  for (const auto& event : watched.events) {
    if (event.now.mod <= revision_) continue;
    if (event.kind == store::WatchEvent::Kind::removed)
      keys_.erase(event.now.key);
    else if (keys_.size() < kMostProcesses || keys_.count(event.now.key))
      keys_[event.now.key] = event.now;
  }
  // events of one revision may come in one message only, so all up to it are known now
  for (const auto& event : watched.events) revision_ = std::max(revision_, event.now.mod);
}

const store::KeyValue* View::find(const std::string& key) const {
  const auto it = keys_.find(key);
  return it == keys_.end() ? nullptr : &it->second;
}

}  // namespace yokestream::coordination
