// Keeps this process's place in its fleet: the thread that asks the store what coordination::Fleet wants
// asked, reads its watches, and tells the core which part of the load it may count on and where areas that
// move may go.
//
// Only where the operator file switches `fleet` on. Any thread may call. Memory: what coordination::Fleet and
// one reply take. Descriptors: five at most (a call, two watches, an event, one to spare). One thread. A
// store that is slow or away holds up nobody else.
#pragma once

#include <array>
#include <atomic>
#include <mutex>
#include <string>

#include "config/config.h"
#include "coordination/fleet.h"
#include "migration/mover.h"
#include "net/events.h"
#include "net/thread.h"
#include "store/client.h"
#include "store/watcher.h"

namespace yokestream::net {

class FleetKeeper {
 public:
  static constexpr std::size_t kDescriptors = 5;

  // `told`: managers that the platform tells of. Throws std::system_error.
  FleetKeeper(const config::Config& config, DispatcherQueue& inbox, dispatch::Log& log);
  ~FleetKeeper();  // at once; what leave() has not given back ends with its lease

  void arrived() { ++arrived_; }                       // a request, for this process's traffic
  void applied(std::int64_t epoch);                    // the core acts on this table from now on
  void routed(std::int64_t epoch);                     // and keeps wholly to this one's routes
  void tally(const routing::OutcomeTallies& tallies);  // what it counted on the sides of what moves
  void leave();  // gives its place and its lease back, as the store allows

 private:
  void run();
  void ask(const store::Request& request);
  void keep_watches(Time now);
  void wait(Time until);
  void tell_core();
  void tell_routes();
  void hear_core();
  void tell_log();
  void measure(Time now);

  DispatcherQueue& inbox_;
  dispatch::Log& log_;
  std::optional<migration::MigrationTask> mover_;  // where areas may move; its thread only, as the next
  coordination::FleetMember fleet_;
  const Duration ask_within_;
  store::Client client_;
  std::array<store::Watcher, coordination::FleetMember::kWatchSlots> watchers_;
  std::array<std::optional<store::WatchRequest>, coordination::FleetMember::kWatchSlots> opened_;
  coordination::FleetMember::LoadGrant allowed_;
  std::string noted_;
  bool owner_ = false;
  std::uint64_t measured_ = 0;
  Time measure_at_{};
  double traffic_ = 0;
  std::atomic<std::uint64_t> arrived_{0};
  std::atomic<std::int64_t> applied_{-1}, routed_{-1};
  std::mutex tallied_;  // guards the next
  routing::OutcomeTallies tallies_;
  std::int64_t told_epoch_ = -2;  // of the routes, as the core was told last; -1: closed
  Time told_until_{};
  std::atomic<bool> leaving_{false}, over_{false};
  Fd news_;
  Thread thread_;  // last: it uses the rest
};

}  // namespace yokestream::net
