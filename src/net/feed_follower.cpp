#include "net/feed_follower.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "protocol/sse.h"

namespace yokestream::net {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr const char* kPath = "/v1/events";
// What the feed has to tell counts as told 7 s on, so a connection that brings not even its comment of each
// second is given up long before. One on which nothing at all has come yet may stand in a queue: each time it
// gets longer, as giving it up would only put it at the end again.
constexpr Duration kSilence = milliseconds(2200);
constexpr Duration kLongestSilence = milliseconds(5000);
constexpr Duration kConnectWithin = milliseconds(1000);
// Between two connections, half as much again or less: managers that lost the feed together come back apart.
constexpr Duration kPause = milliseconds(100);

}  // namespace

FeedFollower::FeedFollower(const std::optional<config::Endpoint>& feed, std::uint64_t last_event,
                           std::uint64_t seed, Inbox& inbox, dispatch::Log& log)
    : last_event_(last_event), random_(seed), patience_(kSilence), inbox_(inbox), log_(log), feed_(feed) {
  thread_ = Thread("feed", kLargeStack, [this] { run(); });
}

FeedFollower::~FeedFollower() {
  {
    const std::lock_guard lock(mutex_);
    over_ = true;
    if (socket_) socket_->abort();
    news_.notify_all();
  }
  thread_.join();
}

void FeedFollower::follow(const std::optional<config::Endpoint>& feed) {
  const std::lock_guard lock(mutex_);
  if (feed == feed_) return;
  feed_ = feed;
  if (socket_) socket_->abort();
  news_.notify_all();
}

Duration FeedFollower::next_pause() {
  random_ = random_ * 6364136223846793005ull + 1442695040888963407ull;
  return kPause / 2 + kPause * static_cast<int>(random_ >> 33 & 1023) / 1024;
}

// Ended by the end, or by another address.
void FeedFollower::pause(const config::Endpoint& feed) {
  const Time until = now() + next_pause();
  std::unique_lock lock(mutex_);
  news_.wait_until(lock, to_steady(until), [&] { return over_ || feed_ != feed; });
}

void FeedFollower::run() {
  while (true) {
    config::Endpoint feed;
    Socket* socket = nullptr;
    {
      std::unique_lock lock(mutex_);
      news_.wait(lock, [&] { return over_ || feed_; });
      if (over_) return;
      feed = *feed_;
      socket_ = std::make_unique<Socket>();
      socket = socket_.get();
    }
    try {
      if (follow_once(feed, *socket))
        patience_ = kSilence;
      else
        patience_ = std::min(2 * patience_, kLongestSilence);
    } catch (const std::exception& problem) {
      log_.write(std::string("the control feed's connection is closed: ") + problem.what());
    }
    pause(feed);
  }
}

// False: nothing at all came.
bool FeedFollower::follow_once(const config::Endpoint& feed, Socket& socket) {
  ConnectFailure failure;
  if (!socket.connect(feed, now() + kConnectWithin, &failure)) {
    log_.write("the control feed: " + failure.why);
    return true;
  }
  const std::string subscription = protocol::encode_subscription(to_string(feed), kPath, last_event_);
  if (socket.write(subscription) != Socket::WriteResult::all) return true;
  protocol::SseReader reader;
  std::array<char, kReadBytes> bytes;
  bool heard = false, first = true;
  while (true) {
    const Duration silence = heard ? kSilence : patience_;
    const std::size_t size = socket.read_until(bytes.data(), bytes.size(), now() + silence);
    if (size == 0) break;
    heard = true;
    reader.feed({bytes.data(), size});
    while (const auto event = reader.next()) {
      config::MembersEvent members = config::decode_members(event->data);
      std::uint64_t number = members.number;
      std::from_chars(event->id.data(), event->id.data() + event->id.size(), number);
      if (number <= last_event_) continue;  // told before
      // Guards against an event that is missing: it is asked for again, once.
      if (!std::exchange(first, false) && number > last_event_ + 1) {
        log_.write("the control feed left out event " + std::to_string(last_event_ + 1));
        return true;
      }
      last_event_ = number;
      inbox_.post(dispatch::Event(dispatch::EngineListChanged{std::move(members)}));
    }
    if (reader.ended()) break;
  }
  log_.write("the control feed ended or fell silent; it is asked again for what follows " +
             std::to_string(last_event_));
  return heard;
}

}  // namespace yokestream::net
