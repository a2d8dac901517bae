// Follows the control feed, for as long as it lives, over as many connections as that takes.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>

#include "net/events.h"
#include "net/thread.h"

namespace yokestream::net {

class FeedFollower {
 public:
  FeedFollower(const config::Endpoint& feed, std::uint64_t last_event, Inbox& inbox, manager::Log& log);
  ~FeedFollower();
  std::uint64_t end();  // breaks off and joins; the number of the last event it posted

 private:
  void follow();
  void follow_once(Socket& socket);
  bool pause();  // false: the end has come

  const config::Endpoint feed_;
  std::uint64_t last_event_;
  Inbox& inbox_;
  manager::Log& log_;
  std::mutex mutex_;
  std::condition_variable ending_;
  bool over_ = false;
  std::unique_ptr<Socket> socket_;  // guarded; replaced for each connection
  Thread thread_;                   // last: it uses the rest
};

}  // namespace yokestream::net
