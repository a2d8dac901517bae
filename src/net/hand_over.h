// The file by which a process hands on what it has learnt to one that takes over: `yokestream-learnt` in the
// folder that both share.
//
// Written whole beside the old one and then put in its place, by a thread of its own, so that a slow disk
// holds up nobody; what is offered while one is being written is left out. A file that is not there is no
// news; one that makes no sense is told of in one line and counts for nothing. Memory: one copy of what was
// learnt and its bytes. Any thread may offer.
#pragma once

#include <optional>
#include <string>

#include "dispatch/ports.h"
#include "net/bounded_work_queue.h"
#include "net/clock.h"
#include "net/thread.h"
#include "snapshot/learned_state_codec.h"

namespace yokestream::net {

class HandOver {
 public:
  // What an earlier process left in `folder`, if it is of use and not older than an hour.
  static std::optional<snapshot::RestoredState> read(const std::string& folder,
                                                     const config::RealSettings& names, dispatch::Log& log);

  // `place` tells the processes of one folder apart.
  HandOver(const std::string& folder, int place, const config::RealSettings& names);
  ~HandOver();
  void offer(policy::LearnedState learnt);            // never waits
  void write_now(policy::LearnedState learnt) const;  // on the caller's thread, to its end

 private:
  struct Item {
    policy::LearnedState learnt;
    Time at{};
  };
  void write(const std::string& bytes) const;

  const std::string folder_, path_, own_;
  const config::RealSettings& names_;
  BoundedWorkQueue<Item> items_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
