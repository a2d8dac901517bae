// One watch of the store, on a connection of its own: opened by a blocking call, then read as bytes come.
//
// One thread at a time; stop() may come from any. Memory: one message of at most kMostReply bytes.
// Descriptors: one.
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
  // False: it is not open, nor is one from before.
  bool open(const WatchRequest& watch, const config::Endpoint& at, net::Time deadline);
  void close();
  void stop() { connection_.stop(); }
  bool is_open() const { return parser_ != nullptr; }
  int descriptor() const;  // to wait on; -1: it is not open
  // Messages that have come; never waits. Once it is over, is_open() is false afterwards.
  std::deque<WatchResponse> read();

 private:
  struct Parser;
  bool take_lines(std::deque<WatchResponse>& out);

  CancellableSocket connection_;
  std::unique_ptr<Parser> parser_;
};

}  // namespace yokestream::store
