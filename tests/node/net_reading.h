// A client session without a server round it.
#pragma once

#include "net_peers.h"

namespace yokestream::test {

// What a client session stands in, without a server: who takes its messages, and who would read it.
struct Reading {
  explicit Reading(std::size_t most_readers) : readers{dispatch::Budget(most_readers), lobby, writer} {}
  std::shared_ptr<net::ClientSession> session(Fd fd) {
    return std::make_shared<net::ClientSession>(dispatch::SessionId{1}, std::move(fd),
                                                dispatch::Reservation{}, config.real, budget, inbox, readers,
                                                log);
  }
  config::Config config = config::decode_config(config_text());
  Notes log;
  net::DispatcherQueue inbox{200};
  dispatch::Budget budget{1 << 20};
  net::Poller lobby{"lobby"}, writer{"writer"};
  net::ReaderPool readers;
};

}  // namespace yokestream::test
