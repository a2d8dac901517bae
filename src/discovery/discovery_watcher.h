// Watches the control feed for changes of the engine list. Reconnects when a connection ends, and switches
// to another address when the configuration changes it. A single thread connects, reads and posts, so events
// reach the dispatcher in the order of their numbers and never twice, however quickly the address changes.
// While no connection has delivered a byte yet, several wait beside each other (reconnect_schedule.h); the
// first that delivers one is kept. Memory: one incomplete event, whose size the reader bounds. Uses at most
// five descriptors.
#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "discovery/feed_connection.h"
#include "discovery/reconnect_schedule.h"
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
  enum class EventResult { known_already, posted, gap };

  void run();
  bool take_address();  // false: the watcher is being destroyed
  void open_connection(net::Time now);
  void wait_for_connections();
  void read_from(FeedConnection& connection);
  EventResult post_if_new(const protocol::SseEvent& event, bool gap_allowed);
  void remove_spare();
  void remove_ended(net::Time now);

  // Used by thread_ only.
  std::uint64_t last_event_;
  ReconnectSchedule schedule_;
  std::optional<config::Endpoint> watched_feed_;
  std::vector<std::unique_ptr<FeedConnection>> connections_;  // the oldest first
  net::DispatcherQueue& events_;
  dispatch::Log& log_;

  const net::Fd wake_event_;  // signals a change of feed_ or stopping_
  std::mutex mutex_;          // guards the next two members
  std::optional<config::Endpoint> feed_;
  bool stopping_ = false;
  net::Thread thread_;  // declared last: it uses the other members
};

}  // namespace yokestream::discovery
