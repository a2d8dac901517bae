// An engine that fails at random, and a client that knows what it is owed.
#pragma once

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <deque>
#include <mutex>

#include "net_peers.h"
#include "net_system.h"

namespace yokestream::test {

// The ids of requests in the order in which they came, with their times. Any thread.
class Seen {
 public:
  void note(const std::string& id) {
    const std::lock_guard lock(mutex_);
    all_.emplace_back(net::now(), id);
  }
  std::vector<std::pair<Time, std::string>> begin_with(const std::string& prefix) const {
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
// test's own. `takes`: from a request to its rows, where it serves one.
class Fickle {
 public:
  explicit Fickle(std::uint32_t seed, bool steady = false, Duration takes = {})
      : steady_(steady), takes_(takes), steps_(seed), over_(::eventfd(0, EFD_CLOEXEC)) {
    thread_ = net::Thread("fickle", net::kLargeStackBytes, [this] { run(); });
  }
  ~Fickle() {
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(over_.get(), &one, sizeof one);
  }
  config::Endpoint at() const { return listening_.at; }
  long requests() const { return requests_; }  // read whole so far
  const Seen& seen() const { return seen_; }

 private:
  void run() {
    spared = true;
    while (true) {
      std::vector<pollfd> all = {{over_.get(), POLLIN, 0}, {listening_.fd.get(), POLLIN, 0}};
      for (const auto& peer : peers_) all.push_back({peer->socket.descriptor(), POLLIN, 0});
      const auto wait =
          due_.empty() ? Duration{} : std::max(Duration{1}, due_.front().at - net::now());  // 0: for ever
      const timespec left{0, static_cast<long>(wait.count())};
      ::ppoll(all.data(), all.size(), wait == Duration{} ? nullptr : &left, nullptr);
      if (all[0].revents) return;
      for (std::size_t i = peers_.size(); i-- > 0;)
        if (all[i + 2].revents && !read(*peers_[i])) end(i);
      for (; !due_.empty() && due_.front().at <= net::now(); due_.pop_front())
        due_.front().peer->socket.write(due_.front().bytes);
      if (all[1].revents) peers_.emplace_back(new Peer(listening_.accept()));
    }
  }
  void end(std::size_t i) {
    std::erase_if(due_, [&](const Due& due) { return due.peer == peers_[i].get(); });
    peers_.erase(peers_.begin() + static_cast<long>(i));
  }
  // Whole commands, each a line of its parts; false: the connection goes.
  bool read(Peer& peer) {
    char bytes[4096];
    const auto size = peer.socket.try_read(bytes, sizeof bytes);
    if (size == 0) return false;
    peer.came.append(bytes, size.value_or(0));
    while (true) {
      std::size_t at = 0;
      const auto number = [&]() -> std::optional<std::size_t> {
        const auto end = peer.came.find("\r\n", at);
        if (end == std::string::npos) return std::nullopt;
        const auto n = std::stoul(peer.came.substr(at + 1));
        at = end + 2;
        return n;
      };
      const auto count = number();
      std::vector<std::string> parts;
      while (count && parts.size() < *count) {
        const auto length = number();
        if (!length || peer.came.size() < at + *length + 2) return true;
        parts.push_back(peer.came.substr(at, *length));
        at += *length + 2;
      }
      if (!count) return true;
      peer.came.erase(0, at);
      if (!answer(peer, parts)) return false;
    }
  }
  bool answer(Peer& peer, const std::vector<std::string>& parts) {
    const auto say = [&](const char* word, const std::string& fields, const std::string& body) {
      std::string out = "*4\r\n";
      for (const std::string& part : {parts[1], std::string(word), fields, body})
        out += "$" + std::to_string(part.size()) + "\r\n" + part + "\r\n";
      if (takes_ > Duration{} && std::string_view(word) == "served")
        return due_.push_back({net::now() + takes_, &peer, std::move(out)}), true;
      return peer.socket.write(out) == Socket::WriteResult::all;
    };
    if (parts[0] == "HELO") return say("green", "-", "-");
    if (parts[0] == "FETCH") return say("rows", "index=" + parts[2], "a\tb\t" + parts[1] + "\n");
    if (parts[0] != "REQ") return true;
    ++requests_;
    seen_.note(parts[1]);
    const auto what = steady_ ? 20 : steps_.below(20);
    if (what == 0) return false;
    if (what == 1) return say("crashed", "-", "-");
    if (what <= 3) return say("overload", "-", "-");
    return say("served", what == 4 ? "total=3" : "total=1", "a\tb\t" + parts[1] + "\n");
  }

  struct Due {
    Time at;
    Peer* peer;
    std::string bytes;
  };
  const bool steady_;     // it serves all
  const Duration takes_;  // under a second
  std::deque<Due> due_;
  Seen seen_;
  std::atomic<long> requests_{0};
  Steps steps_;
  Listening listening_;
  Fd over_;
  std::vector<std::unique_ptr<Peer>> peers_;
  net::Thread thread_;  // last: it uses the rest
};

// A client with some requests open. Knows of the answers what it takes to tell them apart.
struct Asking : Peer {
  using Peer::Peer;
  // The size of the value at `at`, as far as answers hold any; 0: not whole.
  std::size_t value(std::size_t at) const {
    const auto left = came.size() - std::min(at, came.size());
    const auto byte = [&](std::size_t i) { return static_cast<std::uint8_t>(came[at + i]); };
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
        const auto next = value(at + size);
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
  void ask(const std::string& id, std::size_t size) { CHECK(try_ask(id, size)); }
  bool try_ask(const std::string& id, std::size_t size) {  // false: the connection has ended
    const int number = ++last;
    open.insert(number);
    const std::string statement = "select '" + std::string(size, 'x') + "'" + tail;
    std::string bytes = call(number, id, "", cls);
    bytes.resize(bytes.size() - 2);
    bytes += '\xc5';
    bytes += static_cast<char>(statement.size() >> 8);
    bytes += static_cast<char>(statement.size() & 255);
    return socket.write(bytes + statement) == Socket::WriteResult::all;
  }
  // Waits for the next answer; false: the connection has ended without one.
  bool hear() {
    char bytes[4096];
    for (std::size_t size = value(0); size == 0; size = value(0)) {
      const auto got = socket.read_until(bytes, sizeof bytes, Time::max());
      if (got == 0) return false;
      came.append(bytes, got);
    }
    CHECK(came[0] == '\x94');
    CHECK(came[1] == '\x01');
    CHECK(open.erase(static_cast<std::uint8_t>(came[2])) == 1);  // one answer each, and to nothing else
    const auto size = value(0);
    served = came[3] == '\xc0';  // no error
    came.erase(0, size);
    return true;
  }
  std::string cls = "look", tail;  // of its statements
  bool served = false;             // was the answer heard last
  int last = 0;
  std::set<int> open;
};

}  // namespace yokestream::test
