// A way between two processes that can be cut, held and slowed down: a listener of its own whose connections
// are passed on. One thread. Memory: what is held, kMostHeld a connection and direction.
#pragma once

#include <atomic>
#include <list>
#include <string>

#include "config/members.h"
#include "net/socket.h"
#include "net/thread.h"

namespace yokestream::standin {

class Link {
 public:
  static constexpr std::size_t kMostHeld = 1 << 20;

  explicit Link(const config::Endpoint& to);  // throws std::system_error
  ~Link();
  config::Endpoint endpoint() const { return endpoint_; }

  // What happens to bytes of one direction from now on: they pass, they wait (and pass later), or they are
  // lost and nobody is told.
  enum class Way { pass, hold, lose };
  void there(Way way);  // towards the far end
  void back(Way way);
  void close_all();                                       // resets every connection
  void refuse(bool refuse_new);                           // new ones are closed at once
  std::size_t held_there() const { return held_there_; }  // bytes that wait on their way to the far end

 private:
  struct Pair {
    net::Fd near, far;
    std::string there, back;  // held
    bool spoilt = false;      // some of it was lost: no bytes pass any more once others would
    bool near_over = false, far_over = false;  // that end is closed; what is held of it still arrives
  };
  void run();
  bool carry(const net::Fd& from, const net::Fd& to, std::string& held, Way way, bool readable, bool& over);

  const config::Endpoint to_;
  net::Fd listener_, news_;
  config::Endpoint endpoint_;
  std::atomic<Way> there_{Way::pass}, back_{Way::pass};
  std::atomic<bool> refuse_{false}, close_{false}, over_{false};
  std::atomic<std::size_t> held_there_{0};
  std::list<Pair> pairs_;  // the thread's own
  net::Thread thread_;     // last: it uses the rest
};

}  // namespace yokestream::standin
