// A client that keeps to the protocol and repeats what is refused at once. Whatever ends its connection, a
// request that it wrote before has a response.
#include <doctest/doctest.h>

#include "net_fake_engine.h"
#include "program.h"

namespace yokestream::test {
namespace {

constexpr std::size_t kMaxOpenRequests = 32;  // the most that the protocol allows on one connection
constexpr Duration kCrossingTime = 50ms;      // a request that crosses a close within it is sent again

// Keeps kMaxOpenRequests requests open on one connection until the connection ends.
class RetryingClient {
 public:
  explicit RetryingClient(const config::Endpoint& manager) : connection_(manager) {}

  // Returns the number of requests that were open for longer than kCrossingTime when the connection ended;
  // nullopt: it did not end before the deadline.
  std::optional<long> run_until_closed(Time deadline) {
    send_requests(kMaxOpenRequests);
    char bytes[4096];
    while (net::now() < deadline) {
      const auto size = connection_.socket.read_until(bytes, sizeof bytes, deadline);
      if (size == 0 && net::now() < deadline) return count_lost(net::now());
      connection_.received.append(bytes, size);
      if (!send_requests(take_responses())) return count_lost(net::now());
    }
    return std::nullopt;
  }
  long responses() const { return responses_; }

 private:
  bool send_requests(std::size_t count) {
    std::string bytes;
    for (; count > 0; --count) {
      sent_at_[++last_number_] = net::now();
      char id[17];
      std::snprintf(id, sizeof id, "%016x", last_number_);
      bytes += encode(last_number_, id);
    }
    return bytes.empty() || connection_.socket.write(bytes) == Socket::WriteResult::all;
  }
  static std::string encode(unsigned number, const std::string& id) {
    const std::string request = encode_request(0, id, "select 1");
    std::string out = request.substr(0, 2) + '\xce';
    for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(number >> shift & 255U);
    return out + request.substr(3);
  }
  // Removes the complete responses and returns their number. All are errors, as no engine answers.
  std::size_t take_responses() {
    std::size_t count = 0;
    for (std::size_t size = connection_.value_size(0); size > 0; size = connection_.value_size(0)) {
      const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(connection_.received[i]); };
      unsigned number = byte(2);
      if (number == 0xce) number = (byte(3) << 24) + (byte(4) << 16) + (byte(5) << 8) + byte(6);
      CHECK(sent_at_.erase(number) == 1);
      connection_.received.erase(0, size);
      ++count;
    }
    responses_ += static_cast<long>(count);
    return count;
  }
  long count_lost(Time closed_at) const {
    return std::count_if(sent_at_.begin(), sent_at_.end(),
                         [&](const auto& sent) { return closed_at - sent.second > kCrossingTime; });
  }

  TestClient connection_;
  std::map<unsigned, Time> sent_at_;  // of the requests without a response
  unsigned last_number_ = 0;
  long responses_ = 0;
};

// Guards against closing a connection over unread requests, because its client has had many refusals and no
// result (issue 47, docs/incidents/unanswered-at-close.md).
TEST_CASE("a client that repeats what is refused loses no request when its connection is closed") {
  TemporaryDirectory directory;
  TestListener engine;  // accepts connections and never answers
  Program program(directory, config_text("127.0.0.1:0", to_string(engine.endpoint)), -1);
  RetryingClient client(program.client_endpoint());
  const auto lost = client.run_until_closed(net::now() + 12s);
  CAPTURE(client.responses());
  CHECK(lost.value_or(0) == 0);
}

}  // namespace
}  // namespace yokestream::test
