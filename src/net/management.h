// The operators' door: one further address on which staff and the platform's front ask and tell this process.
//
// One thread of its own reads all callers and answers from what the core has published, so that no caller
// waits for a busy core, and the core never for a caller. evacuate and activate leave a wish that the core
// compares with what it did, each turn. Callers: kMostCalls at once, the oldest unfinished one goes for a new
// one; each has kCallWithin and one line of bounded length, so memory and descriptors are bounded by their
// number.
//
// publish() and evacuated() are the core thread's; all else is this thread's own.
#pragma once

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

#include "dispatch/ports.h"
#include "figures/figures.h"
#include "net/poller.h"
#include "protocol/management_call.h"

namespace yokestream::net {

class Management {
 public:
  static constexpr std::size_t kMostCalls = 16;
  // With its listener, its poller and one caller that is being let in.
  static constexpr std::size_t kDescriptors = kMostCalls + 4;

  enum class Standing { not_yet, ready, draining, leaving };

  // Listens from now on; throws std::system_error. `on_yes`: called once, when it first says yes, by its
  // thread.
  Management(const config::Endpoint& at, const figures::Figures& figures, std::function<void()> on_yes);
  ~Management();
  config::Endpoint endpoint() const;

  void publish(Standing standing) { standing_ = standing; }
  bool evacuated() const { return evacuated_; }  // the operators' last wish: send clients away

 private:
  class Call;
  class Entrance;
  std::string answer(const protocol::ManagementCall& call);
  std::string readyz();
  std::string wish(bool evacuated);
  void let_in(Fd fd);
  void done(const Call* call);

  const figures::Figures& figures_;
  const std::function<void()> on_yes_;
  std::atomic<Standing> standing_{Standing::not_yet};
  std::atomic<bool> evacuated_{false};
  bool said_yes_ = false;
  std::deque<std::shared_ptr<Call>> calls_;  // oldest first
  std::shared_ptr<Entrance> entrance_;
  Poller poller_;  // last: its thread uses the rest
};

}  // namespace yokestream::net
