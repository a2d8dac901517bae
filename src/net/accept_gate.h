// Delays the listener's accept() calls until this process is to serve clients. The gate starts closed; any
// thread may open it, and it stays open.
#pragma once

#include <atomic>

#include "net/socket.h"

namespace yokestream::net {

class AcceptGate {
 public:
  AcceptGate();  // throws std::system_error
  void open();
  [[nodiscard]] bool is_open() const { return open_; }
  // An eventfd that becomes readable when the gate opens, for use with poll().
  [[nodiscard]] const Fd& opened_event() const { return opened_event_; }

 private:
  Fd opened_event_;
  std::atomic<bool> open_{false};
};

}  // namespace yokestream::net
