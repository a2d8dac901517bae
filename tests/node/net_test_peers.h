// Test peers for the server's connections, and a complete manager in the test process.
#pragma once

#include <doctest/doctest.h>
#include <sys/socket.h>

#include <algorithm>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "helper.h"
#include "net/listening_socket.h"
#include "net/server.h"

namespace yokestream::test {

using net::Fd;
using net::Socket;

// The test's end of a connection.
struct TestPeer {
  explicit TestPeer(Fd fd) : socket(std::move(fd)) {}
  explicit TestPeer(const config::Endpoint& to) {
    net::ConnectFailure failure;
    REQUIRE(socket.connect(to, Time::max(), &failure));
  }
  // Reads up to and including `text`. Returns false if the connection is closed before, or at the deadline.
  bool read_until(const std::string& text, Time deadline = Time::max()) {
    char bytes[4096];
    std::size_t search_start = 0;  // only the length of `text` is searched again after each read
    for (std::size_t size = 1; size > 0; received.append(bytes, size)) {
      if (const auto position = received.find(text, search_start); position != std::string::npos)
        return received.erase(0, position + text.size()), true;
      search_start = received.size() < text.size() ? 0 : received.size() - text.size();
      size = socket.read_until(bytes, sizeof bytes, deadline);
    }
    return false;
  }
  void send(const std::string& bytes) { CHECK(socket.write(bytes) == Socket::WriteResult::all); }
  Socket socket;
  std::string received;
};

struct TestListener {
  Fd fd = net::listen_on({"127.0.0.1", 0});
  config::Endpoint endpoint = net::local_endpoint(fd);
  TestPeer accept() { return TestPeer(Fd(::accept(fd.get(), nullptr, nullptr))); }
};

// Keeps the log lines; a test can wait for one.
class TestLog : public dispatch::Log {
 public:
  void write(std::string_view line) override {
    const std::lock_guard lock(mutex_);
    lines_.emplace_back(line);
    line_added_.notify_all();
  }
  void wait_for(const std::string& text) {
    std::unique_lock lock(mutex_);
    line_added_.wait(lock, [&] { return count_locked(text) > 0; });
  }
  long count(const std::string& text) {
    const std::lock_guard lock(mutex_);
    return count_locked(text);
  }

 private:
  long count_locked(const std::string& text) const {
    return std::count_if(lines_.begin(), lines_.end(),
                         [&](const std::string& line) { return line.find(text) != std::string::npos; });
  }
  std::mutex mutex_;
  std::condition_variable line_added_;
  std::vector<std::string> lines_;
};

inline std::string encode_feed_event(int number, const std::string& uid, const config::Endpoint& engine) {
  return "id: " + std::to_string(number) + "\ndata: {\"n\":" + std::to_string(number) +
         R"(,"members":{"all":false,"targets":[{"uid":")" + uid + R"(","endpoint":")" + to_string(engine) +
         R"(","az":"z","model":"m","state":"up"}]}})" + "\n\n";
}

inline std::string encode_request(int number, const std::string& id, const std::string& statement,
                                  const std::string& cls = "look") {
  const auto text = [](const std::string& value) { return static_cast<char>(0xa0 | value.size()) + value; };
  std::string message{'\x94', '\x00', static_cast<char>(number)};
  message += text(cls) + "\x92\x83" + text("req") + text(id) + text("timeout") + text("4000") +
             text("owner") + text("acme");
  return message + '\xc4' + static_cast<char>(statement.size()) + statement;
}

// Like encode_request(), for a statement of up to 65,535 bytes.
inline std::string encode_long_request(int number, const std::string& id, const std::string& statement) {
  std::string bytes = encode_request(number, id, "");
  bytes.resize(bytes.size() - 2);  // without the empty statement
  bytes += '\xc5';
  bytes += static_cast<char>(statement.size() >> 8);
  bytes += static_cast<char>(statement.size() & 255);
  return bytes + statement;
}

struct RunningServer {
  explicit RunningServer(const config::Endpoint& engine, const config::Endpoint* feed = nullptr)
      : config(config::decode_config(config_text("127.0.0.1:0", to_string(engine)))) {
    if (feed) config.feed = *feed;
    server.emplace(config, log);
  }
  ~RunningServer() {
    server->begin_shutdown();
    server->wait();
  }
  config::Config config;
  TestLog log;
  std::optional<net::Server> server;
};

// The request of one client has been sent to the engine and is not answered.
struct OneRequestInFlight {
  OneRequestInFlight()
      : link((client.send(encode_request(1, "0123456789abcdef", "select 1")), engine.accept())) {
    REQUIRE(link.read_until("select 1"));
  }
  TestListener engine;
  RunningServer running{engine.endpoint};
  TestPeer client{running.server->endpoint()};
  TestPeer link;
};

// A connected pair of sockets with a small send buffer. The peer reads only when it is told to.
struct SocketPair {
  SocketPair() : peer(listener.endpoint), socket(Fd(::accept(listener.fd.get(), nullptr, nullptr))) {
    const int send_buffer_bytes = 4096;
    setsockopt(socket.descriptor(), SOL_SOCKET, SO_SNDBUF, &send_buffer_bytes, sizeof send_buffer_bytes);
  }
  TestListener listener;
  TestPeer peer;
  net::Socket socket;
};

}  // namespace yokestream::test
