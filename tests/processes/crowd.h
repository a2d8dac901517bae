// Clients that keep sending on open connections while processes come and go, and what became of their
// requests.
//
// Each thread is one client: one request at a time on one connection, a while after the last answer as people
// do; a new one where that ended. A request that crosses the end of an idle connection is sent once more, as
// the protocol has it, and counted.
#pragma once

#include <atomic>
#include <memory>
#include <vector>

#include "net_fake_engine.h"

namespace yokestream::test {

struct Asks {
  std::string cls = "look", tail;  // of what is sent: its class, and how its statements end
  int first = 0;                   // the number that its ids begin with
};

class Crowd {
 public:
  Crowd(const config::Endpoint& manager, int clients, Asks asks = {});
  ~Crowd() { finish(); }
  void wait_for(long more);  // until so many further requests have been answered
  void finish();             // each waits for its last answer

  std::atomic<long> answered{0}, served{0}, turned_back{0}, lost{0};

 private:
  void run(int number);

  const config::Endpoint manager_;
  const Asks asks_;
  std::atomic<bool> over_{false};
  std::vector<std::unique_ptr<net::Thread>> threads_;
};

}  // namespace yokestream::test
