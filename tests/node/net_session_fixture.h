// A client session without a server, and the messages and waits of tests that read it step by step.
#pragma once

#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <set>

#include "net_test_peers.h"

namespace yokestream::test {

constexpr double kTestTimeoutS = 30;

// Holds what a client session needs in place of a server: its event queue, its pollers and its reader pool.
struct SessionFixture {
  explicit SessionFixture(std::size_t max_readers)
      : reader_pool{dispatch::Budget(max_readers), client_poller, slow_writer_poller} {}
  std::shared_ptr<net::ClientSession> session(Fd fd) {
    return std::make_shared<net::ClientSession>(dispatch::SessionId{1}, std::move(fd),
                                                dispatch::Reservation{}, config.real, budget, event_queue,
                                                reader_pool, log);
  }
  config::Config config = config::decode_config(config_text());
  TestLog log;
  net::DispatcherQueue event_queue{200};
  dispatch::Budget budget{1 << 20};
  net::Poller client_poller{"lobby"}, slow_writer_poller{"writer"};
  net::ReaderPool reader_pool;
};

inline std::string encode_cancel(int number) {
  return std::string("\x93\x02\xa6giveUp\x91", 10) + static_cast<char>(number);
}

inline std::string encode_probe(int number) {
  return std::string("\x94\x00", 2) + static_cast<char>(number) + std::string("\xa5probe\x91\x80", 8);
}

// Waits for the first byte; all bytes of one write arrive together.
inline void wait_for_bytes(int descriptor) {
  char first = 0;
  REQUIRE(::recv(descriptor, &first, 1, MSG_PEEK) == 1);
}

// Waits until `size` bytes are unread.
inline void wait_for_unread(int descriptor, std::size_t size) {
  const Time deadline = net::now() + 10s;
  int unread = 0;
  while (static_cast<std::size_t>(unread) < size) {
    REQUIRE(net::now() < deadline);
    REQUIRE(::ioctl(descriptor, FIONREAD, &unread) == 0);
  }
}

// Waits until the peer has closed the connection, without reading from it.
inline void wait_for_end(int descriptor) {
  pollfd peer{descriptor, POLLRDHUP, 0};
  while (::poll(&peer, 1, -1) < 1 || (peer.revents & (POLLRDHUP | POLLHUP)) == 0) {
  }
}

// A client that is only read when the test says so, as if the process had been suspended in between.
struct PausedClient {
  explicit PausedClient(std::size_t max_readers = 0) : fixture(max_readers) {}
  SessionFixture fixture;
  TestListener listening;
  std::unique_ptr<TestPeer> client = std::make_unique<TestPeer>(listening.endpoint);
  Fd accepted{::accept(listening.fd.get(), nullptr, nullptr)};
  int descriptor = accepted.get();
  std::shared_ptr<net::ClientSession> session = fixture.session(std::move(accepted));
  std::size_t drain_event_count() { return fixture.event_queue.drain_until(net::now()).size(); }
};

// Plays a dispatcher that lets a client have a few open requests, as with one that has no result yet.
struct BriefDispatcher {
  static constexpr std::size_t kMaxOpen = 8;
  void handle_events(PausedClient& paused) {
    auto events = paused.fixture.event_queue.drain_until(net::now());
    for (; !events.empty(); events.pop_front()) {
      const auto& event = std::get<dispatch::Event>(events.front());
      if (const auto* request = std::get_if<dispatch::RequestReceived>(&event)) {
        ++received;
        if (open.size() < kMaxOpen)
          open.insert(request->call);
        else
          paused.session->send_rejection(request->call, {});
      }
      if (const auto* cancelled = std::get_if<dispatch::RequestCancelled>(&event))
        open.erase(cancelled->call);
      paused.session->release_message_credit();
    }
  }
  std::set<dispatch::CallId> open;
  int received = 0;
};

}  // namespace yokestream::test
