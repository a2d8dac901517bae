#include "store/client.h"

#include <poll.h>

#include <array>
#include <boost/beast/http.hpp>
#include <sstream>

#include "store/gateway_codec.h"

namespace yokestream::store {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 8 * 1024;

// Returns the number of bytes written by `deadline`; nullopt: the socket failed, and some bytes may have been
// sent.
std::optional<std::size_t> write_until(net::Socket& socket, std::string_view bytes, net::Time deadline) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto accepted = socket.try_write(bytes.substr(written));
    if (!accepted) return std::nullopt;
    written += *accepted;
    if (written == bytes.size()) break;
    pollfd writable{socket.descriptor(), POLLOUT, 0};
    if (net::now() >= deadline || ::poll(&writable, 1, net::milliseconds_until(deadline)) <= 0) break;
  }
  return written;
}

struct HttpResponse {
  unsigned status = 0;
  std::string body;
  bool keep_alive = false;  // the connection can be reused
};

// nullopt: no complete response arrived by `deadline`, or it is malformed HTTP.
std::optional<HttpResponse> read_response(net::Socket& socket, net::Time deadline) {
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  parser.body_limit(kMaxReplyBytes);
  std::string unparsed;  // received but not consumed by the parser yet
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
    unparsed.append(bytes.data(), size);
    const auto consumed = parser.put(boost::asio::buffer(unparsed), error);
    unparsed.erase(0, consumed);
    if (error && error != http::error::need_more) return std::nullopt;
    if (unparsed.size() > kMaxReplyBytes) return std::nullopt;
  }
  return HttpResponse{parser.get().result_int(), std::move(parser.get().body()),
                      parser.get().keep_alive() && unparsed.empty()};
}

}  // namespace

std::string serialize_http_request(const GatewayCall& call, const config::Endpoint& to) {
  http::request<http::string_body> request(http::verb::post, call.path, 11);
  request.set(http::field::host, to_string(to));
  request.set(http::field::content_type, "application/json");
  request.body() = call.body;
  request.prepare_payload();
  std::ostringstream out;
  out << request;
  return out.str();
}

net::Socket* CancellableSocket::replace() {
  const std::lock_guard lock(mutex_);
  if (stopped_) return nullptr;
  socket_ = std::make_unique<net::Socket>();
  return socket_.get();
}
void CancellableSocket::close() {
  const std::lock_guard lock(mutex_);
  if (!stopped_) socket_.reset();
}
void CancellableSocket::stop() {
  const std::lock_guard lock(mutex_);
  stopped_ = true;
  if (socket_) socket_->abort();
}

Client::Client(std::vector<config::Endpoint> endpoints, std::uint64_t seed, net::Time::duration max_backoff)
    : endpoints_(std::move(endpoints), seed, max_backoff) {}

// Returns the open connection, or a new one if the store has closed it.
net::Socket* Client::connected(net::Time deadline, net::ConnectFailure* failure) {
  // Input or end of stream while no request is pending makes the connection unusable.
  char unexpected = 0;
  net::Socket* reusable = connection_.get();
  if (reusable && !reusable->try_read(&unexpected, 1)) return reusable;
  net::Socket* fresh = connection_.replace();
  failure->cause = "client stopped";
  return fresh && fresh->connect(endpoints_.current(), deadline, failure) ? fresh : nullptr;
}

Reply Client::call(const Request& request, net::Time deadline) {
  if (net::now() < endpoints_.next_attempt_at()) return Failed{"store unavailable, backing off", false};
  net::ConnectFailure failure;
  net::Socket* socket = connected(deadline, &failure);
  if (!socket) {
    connection_.close();
    endpoints_.record_failure(net::now());
    return Failed{failure.cause, false};
  }
  const GatewayCall call = encode(request);
  const std::string bytes = serialize_http_request(call, endpoints_.current());
  const auto written = write_until(*socket, bytes, deadline);
  const auto response = written == bytes.size() ? read_response(*socket, deadline) : std::nullopt;
  if (!response || !response->keep_alive) connection_.close();
  if (response) {
    endpoints_.record_success(net::now());
    return decode(request, response->status, response->body);
  }
  endpoints_.record_failure(net::now());
  if (written == 0u || !call.writes) return Failed{"no reply", false};
  return OutcomeUnknown{"no reply"};
}

}  // namespace yokestream::store
