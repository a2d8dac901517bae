// A cached copy of the keys below one prefix: loaded at one revision, then updated by a watch that starts at
// the next one. After a watch was disconnected or its revision compacted, all keys are loaded again.
// Duplicate events are ignored. Performs no I/O; not thread-safe. Memory: at most kMaxMembers keys.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "store/values.h"

namespace yokestream::coordination {

class StoreView {
 public:
  explicit StoreView(std::string prefix) : prefix_(std::move(prefix)) {}

  bool is_loaded() const { return revision_ > 0; }
  store::Range load_request() const { return {prefix_, store::prefix_range_end(prefix_)}; }
  void on_loaded(const store::Completed& completed);  // the reply to load_request()
  store::WatchRequest watch_request() const {
    return {prefix_, store::prefix_range_end(prefix_), revision_ + 1};
  }
  void on_watch_response(const store::WatchResponse& response);
  void invalidate() { revision_ = 0; }  // the view must be loaded again

  const store::KeyValue* find(const std::string& key) const;

 private:
  const std::string prefix_;
  std::map<std::string, store::KeyValue> keys_;
  store::Revision revision_ = 0;  // the revision that `keys_` reflects; 0: not loaded
};

}  // namespace yokestream::coordination
