// One watch of the store on a connection of its own, opened by a blocking call and then read without
// blocking.
//
// Not thread-safe except stop(). Memory: one message of at most kMaxReplyBytes. Descriptors: one.
#pragma once

#include <deque>
#include <memory>
#include <optional>

#include "store/client.h"
#include "store/values.h"

namespace yokestream::store {

class Watcher {
 public:
  Watcher();
  ~Watcher();
  // Closes the current watch and opens a new one. False: it could not be opened by `deadline`.
  bool open(const WatchRequest& watch, const config::Endpoint& at, net::Time deadline);
  void close();
  void stop() { connection_.stop(); }  // any thread; permanent
  bool is_open() const { return parser_ != nullptr; }
  int descriptor() const;  // to poll for input; -1: not open
  // Returns the messages that have arrived; never blocks. Afterwards is_open() is false if the watch has
  // ended.
  std::deque<WatchResponse> read();

 private:
  struct Parser;
  bool parse_messages(std::deque<WatchResponse>& out);  // false: the stream is malformed

  CancellableSocket connection_;
  std::unique_ptr<Parser> parser_;  // nullptr: not open
};

}  // namespace yokestream::store
