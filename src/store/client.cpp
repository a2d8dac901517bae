#include "store/client.h"

#include <poll.h>

#include <array>
#include <boost/beast/http.hpp>
#include <sstream>

#include "store/wire.h"

namespace yokestream::store {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 8 * 1024;

// How much of `bytes` the socket took by `deadline`; nullopt: it broke, and some may have left.
std::optional<std::size_t> write_by(net::Socket& socket, std::string_view bytes, net::Time deadline) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto now_taken = socket.try_write(bytes.substr(written));
    if (!now_taken) return std::nullopt;
    written += *now_taken;
    if (written == bytes.size()) break;
    pollfd room{socket.descriptor(), POLLOUT, 0};
    if (net::now() >= deadline || ::poll(&room, 1, net::milliseconds_until(deadline)) <= 0) break;
  }
  return written;
}

struct Answer {
  unsigned status = 0;
  std::string body;
  bool keep = false;  // the connection may be used again
};

// nullopt: none came whole by `deadline`, or what came is no HTTP.
std::optional<Answer> read_answer(net::Socket& socket, net::Time deadline) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaxReplyBytes);
  std::string held;  // come, and not taken by the parser yet
  std::array<char, kReadBytes> bytes;
  while (!parser.is_done()) {
    const auto size = socket.read_until(bytes.data(), bytes.size(), deadline);
    boost::system::error_code error;
    if (size == 0) {
      if (!parser.got_some()) return std::nullopt;
      parser.put_eof(error);
      if (error || !parser.is_done()) return std::nullopt;
      break;
    }
    held.append(bytes.data(), size);
    const auto taken = parser.put(boost::asio::buffer(held), error);
    held.erase(0, taken);
    if (error && error != http::error::need_more) return std::nullopt;
    if (held.size() > kMaxReplyBytes) return std::nullopt;
  }
  return Answer{parser.get().result_int(), std::move(parser.get().body()),
                parser.get().keep_alive() && held.empty()};
}

}  // namespace

std::string http_of(const GatewayCall& call, const config::Endpoint& to) {
  http::request<http::string_body> request(http::verb::post, call.path, 11);
  request.set(http::field::host, to_string(to));
  request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  std::ostringstream out;
  out << request;
  return out.str();
}

net::Socket* CancellableSocket::renew() {
  const std::lock_guard lock(mutex_);
  if (stopped_) return nullptr;
  socket_ = std::make_unique<net::Socket>();
  return socket_.get();
}
void CancellableSocket::drop() {
  const std::lock_guard lock(mutex_);
  if (!stopped_) socket_.reset();
}
void CancellableSocket::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  if (socket_) socket_->abort();
}

Client::Client(std::vector<config::Endpoint> addresses, std::uint64_t seed, net::Time::duration spread)
    : addresses_(std::move(addresses), seed, spread) {}

// The one that was kept open, if the store has not closed it meanwhile; else a new one.
net::Socket* Client::connected(net::Time deadline, net::ConnectFailure* failure) {
  char stray = 0;
  if (net::Socket* kept = connection_.get(); kept && !kept->try_read(&stray, 1)) return kept;
  net::Socket* fresh = connection_.renew();
  failure->why = "stopped";
  return fresh && fresh->connect(addresses_.current(), deadline, failure) ? fresh : nullptr;
}

Reply Client::call(const Request& request, net::Time deadline) {
  if (net::now() < addresses_.next_attempt_at()) return Failed{"the store is away", false};
  net::ConnectFailure failure;
  net::Socket* socket = connected(deadline, &failure);
  if (!socket) {
    connection_.drop();
    addresses_.record_failure(net::now());
    return Failed{failure.why, false};
  }
  const GatewayCall call = encode(request);
  const std::string bytes = http_of(call, addresses_.current());
  const auto written = write_by(*socket, bytes, deadline);
  const auto answer = written == bytes.size() ? read_answer(*socket, deadline) : std::nullopt;
  if (!answer || !answer->keep) connection_.drop();
  if (answer) {
    addresses_.record_success(net::now());
    return decode(request, answer->status, answer->body);
  }
  addresses_.record_failure(net::now());
  if (written == 0u || !call.writes) return Failed{"no answer", false};
  return OutcomeUnknown{"no answer"};
}

}  // namespace yokestream::store
