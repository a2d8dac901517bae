// The thread that coordinates this process with its fleet: sends the requests of coordination::FleetMember to
// the store, reads its watches, and posts to the core the granted load share and the routing table.
//
// Only where the operator file switches `fleet` on. The public functions may be called from any thread; all
// private state is the coordination thread's, unless said otherwise. Memory: FleetMember's and one reply.
// Descriptors: at most kMaxDescriptors (a call, two watches, an event, one spare). A store that is slow or
// unavailable delays this thread alone.
#pragma once

#include <array>
#include <atomic>
#include <mutex>
#include <string>

#include "config/config.h"
#include "coordination/fleet_member.h"
#include "migration/migration_task.h"
#include "net/events.h"
#include "net/thread.h"
#include "store/client.h"
#include "store/watcher.h"

namespace yokestream::net {

class CoordinationThread {
 public:
  static constexpr std::size_t kMaxDescriptors = 5;

  // Throws std::system_error.
  CoordinationThread(const config::Config& config, DispatcherQueue& inbox, dispatch::Log& log);
  ~CoordinationThread();  // stops at once; a lease that leave() has not revoked expires by itself

  void count_arrival() { ++arrivals_; }              // counts one request of this process's traffic
  void acknowledge_load_shares(std::int64_t epoch);  // the core acts on this load share table
  void acknowledge_routes(std::int64_t epoch);       // the core conforms to this routing table
  void set_outcome_tallies(const routing::OutcomeTallies& tallies);  // outcomes that the core counted
  void leave();  // resigns and revokes the lease, if the store replies in time

 private:
  void run();
  void call_store(const store::Request& request);
  void maintain_watches(Time now);
  void wait(Time until);
  void post_load_grant();
  void post_routes();
  void read_dispatcher_progress();
  void log_changes();
  void sample_traffic(Time now);

  DispatcherQueue& inbox_;
  dispatch::Log& log_;
  std::optional<migration::MigrationTask> migration_task_;  // where areas may migrate
  coordination::FleetMember member_;
  const Duration call_timeout_;
  store::Client client_;
  std::array<store::Watcher, coordination::FleetMember::kWatchSlots> watchers_;
  std::array<std::optional<store::WatchRequest>, coordination::FleetMember::kWatchSlots> open_requests_;
  coordination::FleetMember::LoadGrant posted_grant_;
  std::string logged_fault_;
  bool logged_leader_ = false;
  std::uint64_t sampled_arrivals_ = 0;
  Time next_sample_at_{};
  double requests_per_s_ = 0;
  std::atomic<std::uint64_t> arrivals_{0};
  std::atomic<std::int64_t> applied_shares_epoch_{-1}, applied_routes_epoch_{-1};
  std::mutex tallies_mutex_;  // guards tallies_
  routing::OutcomeTallies tallies_;
  std::int64_t posted_routes_epoch_ = -2;  // -1: closed; -2: nothing posted yet
  Time posted_routes_expiry_{};
  std::atomic<bool> leaving_{false}, stopping_{false};
  Fd wakeup_;
  Thread thread_;  // last: it uses all members above
};

}  // namespace yokestream::net
