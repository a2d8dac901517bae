// The keys below one prefix as this process knows them: read whole at one revision, then kept up by a watch
// from the next one. A watch that is cut or compacted is answered by reading all anew; events that come twice
// count once. Tells when the store has been set back to an older state. Pure; one thread at a time.
// Memory: the keys, kMostProcesses at most.
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
  void on_loaded(const store::Completed& done);  // the answer to read()
  store::WatchRequest watch_request() const {
    return {prefix_, store::prefix_range_end(prefix_), revision_ + 1};
  }
  void on_watch_response(const store::WatchResponse& watched);
  void invalidate() { revision_ = 0; }  // its watch is over: all is read anew

  const store::KeyValue* find(const std::string& key) const;

 private:
  const std::string prefix_;
  std::map<std::string, store::KeyValue> keys_;
  store::Revision revision_ = 0;
};

}  // namespace yokestream::coordination
