// Follows the control feed, for as long as it lives, over as many connections as that takes, and over to
// another address when it is told one.
//
// One thread, which alone connects, reads and posts: events reach the core in the order of their numbers and
// none twice, whatever addresses come in quick succession. Whoever tells it an address never waits for it.
// Memory: one event that is not whole yet, which the reader bounds. Descriptors: one.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include "net/events.h"
#include "net/thread.h"

namespace yokestream::net {

class FeedFollower {
 public:
  // Begins with what follows `last_event`. `seed`: for the spread of its pauses. Throws std::system_error.
  FeedFollower(const std::optional<config::Endpoint>& feed, std::uint64_t last_event, std::uint64_t seed,
               Inbox& inbox, dispatch::Log& log);
  ~FeedFollower();  // breaks off and joins

  // From any thread, without waiting: from now on this address; none: there is nothing to follow.
  void follow(const std::optional<config::Endpoint>& feed);

 private:
  void run();
  bool follow_once(const config::Endpoint& feed, Socket& socket);
  void pause(const config::Endpoint& feed);
  Duration next_pause();

  // The follower's thread only.
  std::uint64_t last_event_;
  std::uint64_t random_;
  Duration patience_;
  Inbox& inbox_;
  dispatch::Log& log_;

  std::mutex mutex_;
  std::condition_variable news_;
  std::optional<config::Endpoint> feed_;  // guarded, as the next two
  bool over_ = false;
  std::unique_ptr<Socket> socket_;  // replaced for each connection
  Thread thread_;                   // last: it uses the rest
};

}  // namespace yokestream::net
