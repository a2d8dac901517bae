// Holds back the listener until this process is to serve clients. Closed until it is opened, once, by any
// thread.
#pragma once

#include <atomic>

#include "net/socket.h"

namespace yokestream::net {

class AcceptGate {
 public:
  AcceptGate();  // throws std::system_error
  void open();
  [[nodiscard]] bool is_open() const { return open_; }
  // Readable once the gate is open, for a thread that waits on descriptors.
  [[nodiscard]] const Fd& opened_event() const { return opened_event_; }

 private:
  Fd opened_event_;
  std::atomic<bool> open_{false};
};

}  // namespace yokestream::net
