// A pool of clients that keep sending requests while processes start and stop, and counters of the outcomes.
//
// Each client is a thread that sends one request at a time on its connection, with a think time between a
// response and the next request, and reconnects when the connection has ended. A request whose connection
// ends before the response is sent a second time, as the protocol prescribes, and counted in failed_sends.
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "net_fake_engine.h"

namespace yokestream::test {

struct ClientOptions {
  std::string query_class = "look";
  std::string statement_suffix;
  int first_client = 0;  // the request ids of client i start with first_client + i, as 8 hex digits
};

class ClientPool {
 public:
  ClientPool(const config::Endpoint& manager, int clients, ClientOptions options = {});
  ~ClientPool() { stop(); }
  void wait_for_responses(long count);  // waits until this many further requests have been answered
  void stop();                          // waits for the responses to the open requests

  std::atomic<long> answered{0};      // requests with any response
  std::atomic<long> served{0};        // requests with a response without an error
  std::atomic<long> failed_sends{0};  // sends whose connection ended before the response
  std::atomic<long> lost{0};          // requests without a response after two sends

 private:
  void run(int number);

  const config::Endpoint manager_;
  const ClientOptions options_;
  std::atomic<bool> stopping_{false};
  std::vector<std::unique_ptr<net::Thread>> threads_;
};

}  // namespace yokestream::test
