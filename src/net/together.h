// The processes of one workload manager during an upgrade: who is there, which of them say yes, and what they
// hold of what is limited for all together.
//
// Each holds byte locks on one file in the folder that they share: one for being there, one for accepting
// clients. The system lets go of them with the process, however it ends, so nothing stale is left by a dead
// one. Nothing is ever waited for. One descriptor. say_yes() and step_down() may be called by any thread, the
// rest by the core's.
#pragma once

#include <cstdint>
#include <string>

#include "net/socket.h"

namespace yokestream::net {

class Together {
 public:
  static constexpr int kMost = 8;  // processes; one too many throws

  explicit Together(const std::string& folder);  // throws std::system_error
  void say_yes();                                // this process accepts clients
  void step_down();                              // no more
  bool successor() const;                        // does another one accept clients?
  // What this process holds, for the others; and what all others that are there hold.
  struct Holds {
    std::uint64_t sessions = 0, bytes = 0;
  };
  void tell(const Holds& own);
  struct Others : Holds {
    std::size_t serving = 0;  // processes that accept clients, or hold some still
  };
  Others others() const;
  int place() const { return place_; }  // 0 to kMost - 1; no other one that is there has it

 private:
  bool lock(int byte, short kind);
  bool held_by_other(int byte) const;

  Fd file_;
  int place_ = 0;
};

}  // namespace yokestream::net
