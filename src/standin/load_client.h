// Clients on loopback for one stream of load (world.h), over MessagePack-RPC: open loop, one thread,
// non-blocking connections of its own. A try's time counts from when it was meant to be sent. For
// measurements.
#pragma once

#include <atomic>
#include <cstdint>
#include <string>

#include "config/members.h"
#include "net/thread.h"
#include "standin/world.h"

namespace yokestream::standin {

// What a manager answers, decoded: [1, id, error, result].
struct Reply {
  std::uint64_t id = 0;
  bool served = false, refused = false;
  std::uint64_t holdoff_ms = 0;
};
// Takes one whole answer from the front of `bytes`; false: not whole yet. Throws std::runtime_error on
// others.
bool take_reply(std::string& bytes, Reply& reply);
std::string encode_call(std::uint64_t id, const std::string& cls,
                        const std::map<std::string, std::string>& fields, const std::string& statement);

class LoadClient {
 public:
  // Starts at once; `index` keeps the source addresses of several loads apart (127.10+index.x.y).
  LoadClient(config::Endpoint manager, Load load, std::size_t index, std::uint64_t seed);
  ~LoadClient();
  Service wait();  // until the load has ended and all its tries have, or their time has passed

 private:
  struct State;
  void run();

  const config::Endpoint manager_;
  const Load load_;
  const std::size_t index_;
  const std::uint64_t seed_;
  Service service_;
  net::Thread thread_;
};

}  // namespace yokestream::standin
