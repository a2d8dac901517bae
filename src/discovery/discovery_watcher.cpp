#include "discovery/discovery_watcher.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace yokestream::discovery {
namespace {

using net::Duration;
using net::Time;
using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr const char* kEventsPath = "/v1/events";
// The manager is expected to know an event 7 s after it appears on the feed. The feed sends a comment every
// second, so a connection that stays silent is closed well before that limit. A new connection may wait in a
// queue of the feed. Its first byte is awaited longer on each attempt, because a reconnect would go to the
// end of that queue.
constexpr Duration kSilenceTimeout = milliseconds(2200);
constexpr Duration kMaxFirstByteTimeout = milliseconds(5000);
constexpr Duration kConnectTimeout = milliseconds(1000);
// Mean delay between two connections. It is jittered by half in either direction, so that managers that lost
// the feed at the same time do not reconnect together.
constexpr Duration kBackoff = milliseconds(100);

}  // namespace

DiscoveryWatcher::DiscoveryWatcher(const std::optional<config::Endpoint>& feed, std::uint64_t last_event,
                                   std::uint64_t seed, net::DispatcherQueue& events, dispatch::Log& log)
    : last_event_(last_event),
      random_state_(seed),
      first_byte_timeout_(kSilenceTimeout),
      events_(events),
      log_(log),
      feed_(feed) {
  thread_ = net::Thread("feed", net::kLargeStackBytes, [this] { run(); });
}

DiscoveryWatcher::~DiscoveryWatcher() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    if (socket_) socket_->abort();
    changed_.notify_all();
  }
  thread_.join();
}

void DiscoveryWatcher::watch(const std::optional<config::Endpoint>& feed) {
  const std::lock_guard lock(mutex_);
  if (feed == feed_) return;
  feed_ = feed;
  if (socket_) socket_->abort();
  changed_.notify_all();
}

Duration DiscoveryWatcher::next_backoff() {
  random_state_ = random_state_ * 6364136223846793005ull + 1442695040888963407ull;
  return kBackoff / 2 + kBackoff * static_cast<int>(random_state_ >> 33 & 1023) / 1024;
}

// Returns early if the watcher is destroyed or the address changes.
void DiscoveryWatcher::back_off(const config::Endpoint& feed) {
  const Time until = net::now() + next_backoff();
  std::unique_lock lock(mutex_);
  changed_.wait_until(lock, net::to_steady(until), [&] { return stopping_ || feed_ != feed; });
}

void DiscoveryWatcher::run() {
  while (true) {
    config::Endpoint feed;
    net::Socket* socket = nullptr;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [&] { return stopping_ || feed_; });
      if (stopping_) return;
      feed = *feed_;
      socket_ = std::make_unique<net::Socket>();
      socket = socket_.get();
    }
    try {
      const auto end = watch_once(feed, *socket);
      first_byte_timeout_ = end == ConnectionEnd::no_bytes_received
                                ? std::min(2 * first_byte_timeout_, kMaxFirstByteTimeout)
                                : kSilenceTimeout;
    } catch (const std::exception& error) {
      log_.write(std::string("control feed disconnected: cause=\"") + error.what() + "\"");
    }
    back_off(feed);
  }
}

bool DiscoveryWatcher::subscribe(const config::Endpoint& feed, net::Socket& socket) {
  net::ConnectFailure failure;
  if (!socket.connect(feed, net::now() + kConnectTimeout, &failure)) {
    log_.write("control feed connection failed: cause=\"" + failure.cause + "\"");
    return false;
  }
  const std::string subscription = protocol::encode_subscription(to_string(feed), kEventsPath, last_event_);
  return socket.write(subscription) == net::Socket::WriteResult::all;
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

DiscoveryWatcher::ConnectionEnd DiscoveryWatcher::watch_once(const config::Endpoint& feed,
                                                             net::Socket& socket) {
  if (!subscribe(feed, socket)) return ConnectionEnd::other;
  protocol::SseReader reader;
  std::array<char, kReadBytes> bytes;
  bool received_byte = false;
  bool gap_allowed = true;  // only before the connection's first new event
  while (true) {
    const Duration timeout = received_byte ? kSilenceTimeout : first_byte_timeout_;
    const std::size_t size = socket.read_until(bytes.data(), bytes.size(), net::now() + timeout);
    if (size == 0) break;
    received_byte = true;
    reader.feed({bytes.data(), size});
    while (const auto event = reader.next()) {
      const auto result = post_if_new(*event, gap_allowed);
      if (result == EventResult::gap) return ConnectionEnd::other;
      if (result == EventResult::posted) gap_allowed = false;
    }
    if (reader.ended()) break;
  }
  log_.write("control feed connection ended or silent: resume_after_event=" + std::to_string(last_event_));
  return received_byte ? ConnectionEnd::other : ConnectionEnd::no_bytes_received;
}

}  // namespace yokestream::discovery
