// A client session without a server.
#pragma once

#include "net_test_peers.h"

namespace yokestream::test {

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

}  // namespace yokestream::test
