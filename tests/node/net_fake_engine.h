// An engine that fails at random, and a client that knows what it is owed.
#pragma once

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <deque>
#include <mutex>

#include "net_fault_injection.h"
#include "net_test_peers.h"

namespace yokestream::test {

// The ids of requests in the order in which they received, with their times. Any thread.
class RequestLog {
 public:
  void record(const std::string& id) {
    const std::lock_guard lock(mutex_);
    all_.emplace_back(net::now(), id);
  }
  std::vector<std::pair<Time, std::string>> with_id_prefix(const std::string& prefix) const {
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<Time, std::string>> out;
    for (const auto& one : all_)
      if (one.second.rfind(prefix, 0) == 0) out.push_back(one);
    return out;
  }

 private:
  mutable std::mutex mutex_;
  std::vector<std::pair<Time, std::string>> all_;
};

// An engine that answers, refuses, breaks off or reads nothing for a while, at random. One thread of the
// test's own. `response_delay`: from a request to its rows, where it serves one.
class FakeEngine {
 public:
  explicit FakeEngine(std::uint32_t seed, bool always_serves = false, Duration response_delay = {})
      : always_serves_(always_serves),
        response_delay_(response_delay),
        steps_(seed),
        stop_event_(::eventfd(0, EFD_CLOEXEC)) {
    thread_ = net::Thread("fickle", net::kLargeStackBytes, [this] { run(); });
  }
  ~FakeEngine() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(stop_event_.get(), &one, sizeof one);
  }
  config::Endpoint endpoint() const { return listener_.endpoint; }
  long request_count() const { return request_count_; }  // read whole so far
  const RequestLog& request_log() const { return request_log_; }

 private:
  void run() {
    exempt_from_faults = true;
    while (true) {
      std::vector<pollfd> all = {{stop_event_.get(), POLLIN, 0}, {listener_.fd.get(), POLLIN, 0}};
      for (const auto& peer : peers_) all.push_back({peer->socket.descriptor(), POLLIN, 0});
      const auto wait =
          delayed_responses_.empty()
              ? Duration{}
              : std::max(Duration{1}, delayed_responses_.front().at - net::now());  // 0: for ever
      const timespec left{0, static_cast<long>(wait.count())};
      ::ppoll(all.data(), all.size(), wait == Duration{} ? nullptr : &left, nullptr);
      if (all[0].revents) return;
      for (std::size_t i = peers_.size(); i-- > 0;)
        if (all[i + 2].revents && !read(*peers_[i])) end(i);
      for (; !delayed_responses_.empty() && delayed_responses_.front().at <= net::now();
           delayed_responses_.pop_front())
        delayed_responses_.front().peer->socket.write(delayed_responses_.front().bytes);
      if (all[1].revents) peers_.emplace_back(new TestPeer(listener_.accept()));
    }
  }
  void end(std::size_t i) {
    std::erase_if(delayed_responses_,
                  [&](const DelayedResponse& due) { return due.peer == peers_[i].get(); });
    peers_.erase(peers_.begin() + static_cast<long>(i));
  }
  // Whole commands, each a line of its parts; false: the connection goes.
  bool read(TestPeer& peer) {
    char bytes[4096];
    const auto size = peer.socket.try_read(bytes, sizeof bytes);
    if (size == 0) return false;
    peer.received.append(bytes, size.value_or(0));
    while (true) {
      std::size_t at = 0;
      const auto number = [&]() -> std::optional<std::size_t> {
        const auto end = peer.received.find("\r\n", at);
        if (end == std::string::npos) return std::nullopt;
        const auto n = std::stoul(peer.received.substr(at + 1));
        at = end + 2;
        return n;
      };
      const auto count = number();
      std::vector<std::string> parts;
      while (count && parts.size() < *count) {
        const auto length = number();
        if (!length || peer.received.size() < at + *length + 2) return true;
        parts.push_back(peer.received.substr(at, *length));
        at += *length + 2;
      }
      if (!count) return true;
      peer.received.erase(0, at);
      if (!answer(peer, parts)) return false;
    }
  }
  bool answer(TestPeer& peer, const std::vector<std::string>& parts) {
    const auto say = [&](const char* word, const std::string& fields, const std::string& body) {
      std::string out = "*4\r\n";
      for (const std::string& part : {parts[1], std::string(word), fields, body})
        out += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
      if (response_delay_ > Duration{} && std::string_view(word) == "served")
        return delayed_responses_.push_back({net::now() + response_delay_, &peer, std::move(out)}), true;
      return peer.socket.write(out) == Socket::WriteResult::all;
    };
    if (parts[0] == "HELO") return say("green", "-", "-");
    if (parts[0] == "FETCH") return say("rows", "index=" + parts[2], "a\tb\t" + parts[1] + "\n");
    if (parts[0] != "REQ") return true;
    ++request_count_;
    request_log_.record(parts[1]);
    const auto what = always_serves_ ? 20 : steps_.below(20);
    if (what == 0) return false;
    if (what == 1) return say("crashed", "-", "-");
    if (what <= 3) return say("overload", "-", "-");
    return say("served", what == 4 ? "total=3" : "total=1", "a\tb\t" + parts[1] + "\n");
  }

  struct DelayedResponse {
    Time at;
    TestPeer* peer;
    std::string bytes;
  };
  const bool always_serves_;       // it serves all
  const Duration response_delay_;  // under a second
  std::deque<DelayedResponse> delayed_responses_;
  RequestLog request_log_;
  std::atomic<long> request_count_{0};
  SeededRandom steps_;
  TestListener listener_;
  Fd stop_event_;
  std::vector<std::unique_ptr<TestPeer>> peers_;
  net::Thread thread_;  // last: it uses the rest
};

// A client with some requests open. Knows of the answers what it takes to tell them apart.
struct TestClient : TestPeer {
  using TestPeer::TestPeer;
  // The size of the value at `at`, as far as answers hold any; 0: not whole.
  std::size_t value_size(std::size_t at) const {
    const auto left = received.size() - std::min(at, received.size());
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(received[at + i]); };
    if (left == 0) return 0;
    const auto sized = [&](std::size_t head, std::size_t n) { return left < head + n ? 0 : head + n; };
    const auto wide = [&](std::size_t width) {
      std::size_t n = 0;
      for (std::size_t i = 1; i <= width; ++i) n = n << 8 | byte(i);
      return n;
    };
    const auto values = [&](std::size_t head, std::size_t n) {
      std::size_t size = head;
      for (; n > 0; --n) {
        const auto next = value_size(at + size);
        if (next == 0) return std::size_t{0};
        size += next;
      }
      return size;
    };
    const auto first = byte(0);
    if (first < 0x80 || first == 0xc0) return 1;
    if (first < 0xa0) return values(1, first & 0x0f);
    if (first < 0xc0) return sized(1, first & 0x1f);
    if (first == 0xce) return sized(5, 0);
    if (first == 0xde) return left < 3 ? 0 : values(3, 2 * wide(2));
    if (left < 5) return 0;
    CHECK((first == 0xc6 || first == 0xdb));
    return sized(5, wide(4));
  }
  void send_request(const std::string& id, std::size_t size) { CHECK(try_send_request(id, size)); }
  bool try_send_request(const std::string& id, std::size_t size) {  // false: the connection has ended
    const int number = ++last_call;
    open_calls.insert(number);
    const std::string statement = "select '" + std::string(size, 'x') + "'" + statement_suffix;
    ;
    std::string bytes = encode_request(number, id, "", query_class);
    bytes.resize(bytes.size() - 2);
    bytes += '\xc5';
    bytes += static_cast<char>(statement.size() >> 8);
    bytes += static_cast<char>(statement.size() & 255);
    return socket.write(bytes + statement) == Socket::WriteResult::all;
  }
  // Waits for the next answer; false: the connection has ended without one.
  bool receive_response() {
    char bytes[4096];
    for (std::size_t size = value_size(0); size == 0; size = value_size(0)) {
      const auto got = socket.read_until(bytes, sizeof bytes, Time::max());
      if (got == 0) return false;
      received.append(bytes, got);
    }
    CHECK(received[0] == '\x94');
    CHECK(received[1] == '\x01');
    CHECK(open_calls.erase(static_cast<std::uint8_t>(received[2])) ==
          1);  // one answer each, and to nothing else
    const auto size = value_size(0);
    last_served = received[3] == '\xc0';  // no error
    received.erase(0, size);
    return true;
  }
  std::string query_class = "look", statement_suffix;  // of its statements
  bool last_served = false;                            // was the answer heard last
  int last_call = 0;
  std::set<int> open_calls;
};

}  // namespace yokestream::test
