// Watches the control feed for changes of the endpoint list, over as many connections as that takes, and
// moves to another address when the configuration names one.
//
// One thread, which alone connects, reads and posts: events reach the dispatcher in the order of their
// numbers and none twice, however quickly addresses change. Memory: one incomplete event, which the reader
// bounds. One descriptor.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>

#include "net/events.h"
#include "net/thread.h"
#include "protocol/sse.h"

namespace yokestream::discovery {

class DiscoveryWatcher {
 public:
  // Starts with the event after `last_event`. `seed`: for the jitter of its backoff. Throws
  // std::system_error.
  DiscoveryWatcher(const std::optional<config::Endpoint>& feed, std::uint64_t last_event, std::uint64_t seed,
                   net::DispatcherQueue& events, dispatch::Log& log);
  ~DiscoveryWatcher();  // aborts the connection; joins
  DiscoveryWatcher(const DiscoveryWatcher&) = delete;
  DiscoveryWatcher& operator=(const DiscoveryWatcher&) = delete;

  // Any thread; never blocks. From now on this address; nullopt: there is no feed.
  void watch(const std::optional<config::Endpoint>& feed);

 private:
  enum class ConnectionEnd { without_a_byte, otherwise };
  enum class EventResult { known_already, posted, gap };

  void run();
  ConnectionEnd watch_once(const config::Endpoint& feed, net::Socket& socket);
  bool subscribe(const config::Endpoint& feed, net::Socket& socket);
  EventResult post_if_new(const protocol::SseEvent& event, bool gap_allowed);
  void back_off(const config::Endpoint& feed);
  net::Duration next_backoff();

  // thread_ only.
  std::uint64_t last_event_;
  std::uint64_t random_state_;
  net::Duration first_byte_timeout_;
  net::DispatcherQueue& events_;
  dispatch::Log& log_;

  std::mutex mutex_;  // guards the next three
  std::optional<config::Endpoint> feed_;
  bool stopping_ = false;
  std::unique_ptr<net::Socket> socket_;  // replaced by thread_ for each connection; others only abort it
  std::condition_variable changed_;      // feed_ or stopping_
  net::Thread thread_;                   // last: it uses the rest
};

}  // namespace yokestream::discovery
