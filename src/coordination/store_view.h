// A cached copy of the keys below one prefix: loaded completely at one revision, then updated by a watch
// from the next one. After a watch that was disconnected or compacted everything is loaded again. Repeated
// events are ignored. Pure; not thread-safe. Memory: kMaxMembers keys at most.
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
  void invalidate() { revision_ = 0; }  // to be loaded again

  const store::KeyValue* find(const std::string& key) const;

 private:
  const std::string prefix_;
  std::map<std::string, store::KeyValue> keys_;
  store::Revision revision_ = 0;  // up to which `keys_` is complete; 0: not loaded
};

}  // namespace yokestream::coordination
