#include "discovery/feed_connection.h"

#include <poll.h>

#include <array>

namespace yokestream::discovery {
namespace {

constexpr std::size_t kReadBytes = 8 * 1024;
constexpr const char* kEventsPath = "/v1/events";
constexpr net::Duration kConnectTimeout = std::chrono::milliseconds(1000);
// The feed sends a comment every second, so a connection that stays silent does not work any more.
constexpr net::Duration kSilenceTimeout = std::chrono::milliseconds(2200);

}  // namespace

FeedConnection::FeedConnection(const config::Endpoint& feed, std::uint64_t last_event, net::Time now)
    : subscription_(protocol::encode_subscription(to_string(feed), kEventsPath, last_event)),
      last_progress_(now) {
  net::ConnectFailure failure;
  const auto status = socket_.start_connect(feed, &failure);
  if (status == net::Socket::ConnectStatus::failed) end(failure.cause);
  if (status == net::Socket::ConnectStatus::connected) subscribe(now);
}

short FeedConnection::awaited_events() const { return state_ == State::connecting ? POLLOUT : POLLIN; }

net::Time FeedConnection::due() const {
  switch (state_) {
    case State::connecting:
      return last_progress_ + kConnectTimeout;
    case State::receiving:
      return last_progress_ + kSilenceTimeout;
    case State::waiting_for_first_byte:
      return net::Time::max();
    case State::ended:
      break;
  }
  return net::Time{};
}

void FeedConnection::on_ready(net::Time now) {
  if (state_ != State::connecting) return receive(now);
  net::ConnectFailure failure;
  if (!socket_.finish_connect(&failure)) return end(failure.cause);
  subscribe(now);
}

void FeedConnection::subscribe(net::Time now) {
  last_progress_ = now;
  established_ = true;
  state_ = State::waiting_for_first_byte;
  if (socket_.write(subscription_) != net::Socket::WriteResult::all) end("the request was not written");
}

void FeedConnection::receive(net::Time now) {
  std::array<char, kReadBytes> bytes;
  const auto size = socket_.try_read(bytes.data(), bytes.size());
  if (!size) return;
  if (*size == 0) return end("closed by the feed");
  last_progress_ = now;
  state_ = State::receiving;
  reader_.feed({bytes.data(), *size});
}

}  // namespace yokestream::discovery
