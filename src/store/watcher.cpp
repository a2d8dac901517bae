#include "store/watcher.h"

#include <array>
#include <boost/beast/http.hpp>

#include "store/gateway_codec.h"

namespace yokestream::store {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t kReadBytes = 8 * 1024;

}  // namespace

struct Watcher::Parser {
  Parser() {
    message.eager(true);
    message.body_limit(boost::none);  // a watch has no end; read() limits the buffered bytes
  }
  http::response_parser<http::string_body> message;
  std::string unparsed;  // received but not consumed by `message` yet
};

Watcher::Watcher() = default;
Watcher::~Watcher() = default;

int Watcher::descriptor() const { return is_open() ? connection_.descriptor() : -1; }

void Watcher::close() {
  parser_.reset();
  connection_.close();
}

bool Watcher::open(const WatchRequest& watch, const config::Endpoint& at, net::Time deadline) {
  close();
  net::Socket* socket = connection_.replace();
  net::ConnectFailure failure;
  const std::string bytes = serialize_http_request(encode(watch), at);
  // A request of a few hundred bytes fits into the send buffer of a new connection.
  if (socket && socket->connect(at, deadline, &failure) && socket->try_write(bytes) == bytes.size())
    parser_ = std::make_unique<Parser>();
  else
    connection_.close();
  return is_open();
}

// Each message is one line of the body.
bool Watcher::parse_messages(std::deque<WatchResponse>& out) {
  if (!parser_->message.is_header_done()) return true;
  if (parser_->message.get().result_int() != 200) return false;
  std::string& body = parser_->message.get().body();
  std::size_t from = 0;
  for (auto end = body.find('\n'); end != std::string::npos; end = body.find('\n', from)) {
    const auto watched = decode_watch_response(std::string_view(body).substr(from, end - from));
    if (!watched) return false;
    out.push_back(*watched);
    from = end + 1;
  }
  body.erase(0, from);
  return body.size() <= kMaxReplyBytes;
}

std::deque<WatchResponse> Watcher::read() {
  std::deque<WatchResponse> out;
  std::array<char, kReadBytes> bytes;
  bool valid = true;
  while (valid && is_open()) {
    net::Socket* socket = connection_.get();
    const auto size = socket ? socket->try_read(bytes.data(), bytes.size()) : std::size_t{0};
    if (!size) break;
    boost::system::error_code error;
    parser_->unparsed.append(bytes.data(), *size);
    const auto consumed = parser_->message.put(boost::asio::buffer(parser_->unparsed), error);
    parser_->unparsed.erase(0, consumed);
    valid = *size > 0 && (!error || error == http::error::need_more) && !parser_->message.is_done() &&
            parser_->unparsed.size() <= kMaxReplyBytes;
    valid = parse_messages(out) && valid;
  }
  if (!valid) close();
  return out;
}

}  // namespace yokestream::store
