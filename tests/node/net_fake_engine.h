// An engine that fails at random, and a client that checks the responses to its requests.
#pragma once

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <deque>
#include <mutex>

#include "net_fault_injection.h"
#include "net_test_peers.h"

namespace yokestream::test {

// Records the ids of requests with their arrival times, in order. May be used by any thread.
class RequestLog {
 public:
  void record(const std::string& id) {
    const std::lock_guard lock(mutex_);
    entries_.emplace_back(net::now(), id);
  }
  std::vector<std::pair<Time, std::string>> with_id_prefix(const std::string& prefix) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<Time, std::string>> matches;
    for (const auto& entry : entries_)
      if (entry.second.rfind(prefix, 0) == 0) matches.push_back(entry);
    return matches;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::pair<Time, std::string>> entries_;
};

// An engine that at random serves a request, rejects it, reports a crash or closes the connection. Runs on
// its own thread. With `always_serves` it serves all requests. `response_delay` is the time from a request to
// its rows.
class FakeEngine {
 public:
  explicit FakeEngine(std::uint32_t seed, bool always_serves = false, Duration response_delay = {})
      : always_serves_(always_serves),
        response_delay_(response_delay),
        steps_(seed),
        stop_event_(::eventfd(0, EFD_CLOEXEC)) {
    thread_ = net::Thread("fake engine", net::kLargeStackBytes, [this] { run(); });
  }
  ~FakeEngine() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(stop_event_.get(), &one, sizeof one);
  }
  config::Endpoint endpoint() const { return listener_.endpoint; }
  long request_count() const { return request_count_; }  // completely received so far
  const RequestLog& request_log() const { return request_log_; }

 private:
  void run() {
    exempt_from_faults = true;
    while (true) {
      std::vector<pollfd> polled = {{stop_event_.get(), POLLIN, 0}, {listener_.fd.get(), POLLIN, 0}};
      for (const auto& peer : peers_) polled.push_back({peer->socket.descriptor(), POLLIN, 0});
      const auto timeout =  // 0: none
          delayed_responses_.empty() ? Duration{}
                                     : std::max(Duration{1}, delayed_responses_.front().due_at - net::now());
      const timespec poll_timeout{0, static_cast<long>(timeout.count())};
      ::ppoll(polled.data(), polled.size(), timeout == Duration{} ? nullptr : &poll_timeout, nullptr);
      if (polled[0].revents) return;
      for (std::size_t i = peers_.size(); i-- > 0;)
        if (polled[i + 2].revents && !read(*peers_[i])) remove_peer(i);
      for (; !delayed_responses_.empty() && delayed_responses_.front().due_at <= net::now();
           delayed_responses_.pop_front())
        delayed_responses_.front().peer->socket.write(delayed_responses_.front().bytes);
      if (polled[1].revents) peers_.emplace_back(new TestPeer(listener_.accept()));
    }
  }
  void remove_peer(std::size_t index) {
    std::erase_if(delayed_responses_,
                  [&](const DelayedResponse& response) { return response.peer == peers_[index].get(); });
    peers_.erase(peers_.begin() + static_cast<long>(index));
  }
  // Handles all complete commands. Returns false if the connection is to be closed.
  bool read(TestPeer& peer) {
    char bytes[4096];
    const auto size = peer.socket.try_read(bytes, sizeof bytes);
    if (size == 0) return false;
    peer.received.append(bytes, size.value_or(0));
    while (true) {
      std::size_t offset = 0;
      const auto read_number = [&]() -> std::optional<std::size_t> {
        const auto line_end = peer.received.find("\r\n", offset);
        if (line_end == std::string::npos) return std::nullopt;
        const auto number = std::stoul(peer.received.substr(offset + 1));
        offset = line_end + 2;
        return number;
      };
      const auto count = read_number();
      std::vector<std::string> parts;
      while (count && parts.size() < *count) {
        const auto length = read_number();
        if (!length || peer.received.size() < offset + *length + 2) return true;
        parts.push_back(peer.received.substr(offset, *length));
        offset += *length + 2;
      }
      if (!count) return true;
      peer.received.erase(0, offset);
      if (!answer(peer, parts)) return false;
    }
  }
  bool answer(TestPeer& peer, const std::vector<std::string>& parts) {
    const auto respond = [&](const char* type, const std::string& fields, const std::string& body) {
      std::string response = "*4\r\n";
      for (const std::string& part : {parts[1], std::string(type), fields, body})
        response += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
      if (response_delay_ > Duration{} && std::string_view(type) == "served")
        return delayed_responses_.push_back({net::now() + response_delay_, &peer, std::move(response)}), true;
      return peer.socket.write(response) == Socket::WriteResult::all;
    };
    if (parts[0] == "HELO") return respond("green", "-", "-");
    if (parts[0] == "FETCH") return respond("rows", "index=" + parts[2], "a\tb\t" + parts[1] + "\n");
    if (parts[0] != "REQ") return true;
    ++request_count_;
    request_log_.record(parts[1]);
    const auto draw = always_serves_ ? 20 : steps_.below(20);
    if (draw == 0) return false;
    if (draw == 1) return respond("crashed", "-", "-");
    if (draw <= 3) return respond("overload", "-", "-");
    return respond("served", draw == 4 ? "total=3" : "total=1", "a\tb\t" + parts[1] + "\n");
  }

  struct DelayedResponse {
    Time due_at;
    TestPeer* peer;
    std::string bytes;
  };
  const bool always_serves_;
  const Duration response_delay_;  // under a second
  std::deque<DelayedResponse> delayed_responses_;
  RequestLog request_log_;
  std::atomic<long> request_count_{0};
  SeededRandom steps_;
  TestListener listener_;
  Fd stop_event_;
  std::vector<std::unique_ptr<TestPeer>> peers_;
  net::Thread thread_;  // declared last: it uses the other members
};

// A client with several open requests. Decodes just enough of the responses to tell them apart.
struct TestClient : TestPeer {
  using TestPeer::TestPeer;
  // Returns the size of the MessagePack value at `offset`, of the types that responses contain; 0 if
  // incomplete.
  std::size_t value_size(std::size_t offset) const {
    const auto available = received.size() - std::min(offset, received.size());
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(received[offset + i]); };
    if (available == 0) return 0;
    const auto raw_size = [&](std::size_t head, std::size_t n) {
      return available < head + n ? 0 : head + n;
    };
    const auto big_endian = [&](std::size_t width) {
      std::size_t number = 0;
      for (std::size_t i = 1; i <= width; ++i) number = number << 8 | byte(i);
      return number;
    };
    const auto container_size = [&](std::size_t head, std::size_t value_count) {
      std::size_t size = head;
      for (; value_count > 0; --value_count) {
        const auto next_size = value_size(offset + size);
        if (next_size == 0) return std::size_t{0};
        size += next_size;
      }
      return size;
    };
    const auto first = byte(0);
    if (first < 0x80 || first == 0xc0) return 1;
    if (first < 0xa0) return container_size(1, first & 0x0f);
    if (first < 0xc0) return raw_size(1, first & 0x1f);
    if (first == 0xce) return raw_size(5, 0);
    if (first == 0xde) return available < 3 ? 0 : container_size(3, 2 * big_endian(2));
    if (available < 5) return 0;
    CHECK((first == 0xc6 || first == 0xdb));
    return raw_size(5, big_endian(4));
  }
  void send_request(const std::string& id, std::size_t size) { CHECK(try_send_request(id, size)); }
  // Returns false if the connection is closed.
  bool try_send_request(const std::string& id, std::size_t size) {
    const int call = ++last_call;
    open_calls.insert(call);
    const std::string statement = "select '" + std::string(size, 'x') + "'" + statement_suffix;
    std::string bytes = encode_request(call, id, "", query_class);
    bytes.resize(bytes.size() - 2);
    bytes += '\xc5';
    bytes += static_cast<char>(statement.size() >> 8);
    bytes += static_cast<char>(statement.size() & 255);
    return socket.write(bytes + statement) == Socket::WriteResult::all;
  }
  // Waits for the next response. Returns false if the connection is closed before.
  bool receive_response() {
    char bytes[4096];
    for (std::size_t size = value_size(0); size == 0; size = value_size(0)) {
      const auto read_size = socket.read_until(bytes, sizeof bytes, Time::max());
      if (read_size == 0) return false;
      received.append(bytes, read_size);
    }
    CHECK(received[0] == '\x94');
    CHECK(received[1] == '\x01');
    // Each response belongs to an open call, and each call gets only one.
    CHECK(open_calls.erase(static_cast<std::uint8_t>(received[2])) == 1);
    const auto size = value_size(0);
    last_served = received[3] == '\xc0';  // the error field is nil
    received.erase(0, size);
    return true;
  }
  std::string query_class = "look", statement_suffix;  // used for the requests that follow
  bool last_served = false;                            // whether the last response was a result
  int last_call = 0;
  std::set<int> open_calls;
};

}  // namespace yokestream::test
