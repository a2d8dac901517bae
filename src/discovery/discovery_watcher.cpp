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
constexpr const char* kPath = "/v1/events";
// An event counts as known to us 7 s after the feed has it, so a connection that does not even bring the
// comment of each second is closed long before. A new connection may stand in a queue of the feed: its first
// byte is waited for longer each time, as reconnecting would only put it at the end of that queue again.
constexpr Duration kSilenceTimeout = milliseconds(2200);
constexpr Duration kMaxFirstByteTimeout = milliseconds(5000);
constexpr Duration kConnectTimeout = milliseconds(1000);
// Between two connections, with a jitter of half of it: managers that lost the feed at once reconnect apart.
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

// Cut short by the end of this watcher, or by another address.
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
      first_byte_timeout_ = end == ConnectionEnd::without_a_byte
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
  const std::string subscription = protocol::encode_subscription(to_string(feed), kPath, last_event_);
  return socket.write(subscription) == net::Socket::WriteResult::all;
}

// Failure: an event is missing on a connection. Symptom: the endpoint list stays wrong until a restart.
// Guard: a gap behind the connection's first new event is reported; the caller reconnects and asks for it
// again.
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
  if (!subscribe(feed, socket)) return ConnectionEnd::otherwise;
  protocol::SseReader reader;
  std::array<char, kReadBytes> bytes;
  bool received_byte = false;
  bool gap_allowed = true;  // until the connection's first new event
  while (true) {
    const Duration timeout = received_byte ? kSilenceTimeout : first_byte_timeout_;
    const std::size_t size = socket.read_until(bytes.data(), bytes.size(), net::now() + timeout);
    if (size == 0) break;
    received_byte = true;
    reader.feed({bytes.data(), size});
    while (const auto event = reader.next()) {
      const auto result = post_if_new(*event, gap_allowed);
      if (result == EventResult::gap) return ConnectionEnd::otherwise;
      if (result == EventResult::posted) gap_allowed = false;
    }
    if (reader.ended()) break;
  }
  log_.write("control feed connection ended or silent: resume_after_event=" + std::to_string(last_event_));
  return received_byte ? ConnectionEnd::otherwise : ConnectionEnd::without_a_byte;
}

}  // namespace yokestream::discovery
