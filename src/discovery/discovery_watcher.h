// Watches the control feed for changes of the engine list. Reconnects when a connection ends, and switches
// to another address when the configuration changes it. A single thread connects, reads and posts, so events
// reach the dispatcher in the order of their numbers and never twice, however quickly the address changes.
// Memory: one incomplete event, whose size the reader bounds. Uses one descriptor.
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
  // Requests the events after `last_event`. `seed` is for the jitter of the backoff. Throws
  // std::system_error.
  DiscoveryWatcher(const std::optional<config::Endpoint>& feed, std::uint64_t last_event, std::uint64_t seed,
                   net::DispatcherQueue& events, dispatch::Log& log);
  ~DiscoveryWatcher();  // aborts the connection and joins the thread
  DiscoveryWatcher(const DiscoveryWatcher&) = delete;
  DiscoveryWatcher& operator=(const DiscoveryWatcher&) = delete;

  // Switches to another address; nullopt means that there is no feed. May be called by any thread and never
  // blocks.
  void watch(const std::optional<config::Endpoint>& feed);

 private:
  enum class ConnectionEnd { no_bytes_received, other };
  enum class EventResult { known_already, posted, gap };

  void run();
  ConnectionEnd watch_once(const config::Endpoint& feed, net::Socket& socket);
  bool subscribe(const config::Endpoint& feed, net::Socket& socket);
  EventResult post_if_new(const protocol::SseEvent& event, bool gap_allowed);
  void back_off(const config::Endpoint& feed);
  net::Duration next_backoff();

  // Used by thread_ only.
  std::uint64_t last_event_;
  std::uint64_t random_state_;
  net::Duration first_byte_timeout_;
  net::DispatcherQueue& events_;
  dispatch::Log& log_;

  std::mutex mutex_;  // guards the next three members
  std::optional<config::Endpoint> feed_;
  bool stopping_ = false;
  std::unique_ptr<net::Socket>
      socket_;                       // replaced by thread_ for each connection; other threads only abort it
  std::condition_variable changed_;  // signals a change of feed_ or stopping_
  net::Thread thread_;               // declared last: it uses the other members
};

}  // namespace yokestream::discovery
