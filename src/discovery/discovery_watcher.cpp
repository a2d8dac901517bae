#include "discovery/discovery_watcher.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <system_error>
#include <utility>

namespace yokestream::discovery {
namespace {

using net::Time;

// The oldest one is given up for one more. With the waits of ReconnectSchedule a feed that needs up to 16 s
// for its first byte is heard.
constexpr std::size_t kMaxConnections = 4;

}  // namespace

DiscoveryWatcher::DiscoveryWatcher(const std::optional<config::Endpoint>& feed, std::uint64_t last_event,
                                   std::uint64_t seed, net::DispatcherQueue& events, dispatch::Log& log)
    : last_event_(last_event),
      schedule_(seed),
      events_(events),
      log_(log),
      wake_event_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)),
      feed_(feed) {
  if (!wake_event_) throw std::system_error(errno, std::generic_category(), "cannot watch the control feed");
  thread_ = net::Thread("feed", net::kLargeStackBytes, [this] { run(); });
}

DiscoveryWatcher::~DiscoveryWatcher() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  net::raise_event(wake_event_);
  thread_.join();
}

void DiscoveryWatcher::watch(const std::optional<config::Endpoint>& feed) {
  {
    const std::lock_guard lock(mutex_);
    feed_ = feed;
  }
  net::raise_event(wake_event_);
}

void DiscoveryWatcher::run() {
  while (take_address()) {
    const Time now = net::now();
    if (watched_feed_ && now >= schedule_.due()) open_connection(now);
    remove_ended(now);
    wait_for_connections();
    remove_spare();
  }
}

bool DiscoveryWatcher::take_address() {
  std::uint64_t count = 0;
  [[maybe_unused]] const auto read = ::read(wake_event_.get(), &count, sizeof count);
  const std::lock_guard lock(mutex_);
  if (feed_ != watched_feed_) {
    watched_feed_ = feed_;
    connections_.clear();
    schedule_.restart();
  }
  return !stopping_;
}

void DiscoveryWatcher::open_connection(Time now) {
  if (connections_.size() == kMaxConnections) connections_.erase(connections_.begin());
  connections_.push_back(std::make_unique<FeedConnection>(*watched_feed_, last_event_, now));
  schedule_.on_opened(now);
}

// Waits until a connection is ready or due, another one is to be opened, or the watcher is woken.
void DiscoveryWatcher::wait_for_connections() {
  std::vector<pollfd> polled{{wake_event_.get(), POLLIN, 0}};
  Time due = watched_feed_ ? schedule_.due() : Time::max();
  for (const auto& connection : connections_) {
    polled.push_back({connection->descriptor(), connection->awaited_events(), 0});
    due = std::min(due, connection->due());
  }
  if (::poll(polled.data(), polled.size(), net::milliseconds_until(due)) <= 0) return;
  for (std::size_t i = 0; i < connections_.size(); ++i) {
    if (polled[i + 1].revents != 0) read_from(*connections_[i]);
  }
}

void DiscoveryWatcher::read_from(FeedConnection& connection) try {
  const bool was_receiving = connection.is_receiving();
  connection.on_ready(net::now());
  if (!was_receiving && connection.is_receiving()) schedule_.on_first_byte();
  while (const auto event = connection.next_event()) {
    const auto result = post_if_new(*event, !connection.has_posted());
    if (result == EventResult::gap) return connection.end("an event is missing");
    if (result == EventResult::posted) connection.set_posted();
  }
  if (connection.has_received_end()) connection.end("the feed ended the response");
} catch (const std::exception& error) {
  connection.end(error.what());
}

// Failure: an event is missing on a connection. Symptom: the engine list stays wrong until a restart.
// Guard: a gap after the connection's first new event is reported; the caller reconnects and requests the
// missing event.
DiscoveryWatcher::EventResult DiscoveryWatcher::post_if_new(const protocol::SseEvent& event,
                                                            bool gap_allowed) {
  config::MembersEvent members = config::decode_members(event.data);
  std::uint64_t number = members.number;
  std::from_chars(event.id.data(), event.id.data() + event.id.size(), number);
  if (number <= last_event_) return EventResult::known_already;
  if (!gap_allowed && number > last_event_ + 1) {
    log_.write("control feed event missing: number=" + std::to_string(last_event_ + 1));
    return EventResult::gap;
  }
  last_event_ = number;
  events_.post(dispatch::Event(dispatch::EngineListChanged{std::move(members)}));
  return EventResult::posted;
}

// Keeps only the connection that delivers, if there is one.
void DiscoveryWatcher::remove_spare() {
  const auto delivering = std::find_if(connections_.begin(), connections_.end(),
                                       [](const auto& connection) { return connection->is_receiving(); });
  if (delivering == connections_.end() || connections_.size() == 1) return;
  auto kept = std::move(*delivering);
  connections_.clear();
  connections_.push_back(std::move(kept));
}

void DiscoveryWatcher::remove_ended(Time now) {
  for (auto it = connections_.begin(); it != connections_.end();) {
    FeedConnection& connection = **it;
    if (now >= connection.due()) connection.end("silent");
    if (!connection.has_ended()) {
      ++it;
      continue;
    }
    log_.write("control feed connection ended: cause=\"" + connection.end_cause() +
               "\" resume_after_event=" + std::to_string(last_event_));
    schedule_.on_ended(now, connection.was_established());
    it = connections_.erase(it);
  }
}

}  // namespace yokestream::discovery
