// The thread that coordinates this process with its fleet. It sends the requests of coordination::FleetMember
// to the store, reads the store's watches, and posts the granted load share and the routing table to the
// dispatcher.
//
// Runs only if the operator file enables `fleet`. Any thread may call the public functions; the private state
// belongs to the coordination thread unless stated otherwise. Memory: that of FleetMember and one reply.
// Descriptors: at most kMaxDescriptors (a call, two watches, an event, one spare). A store that is slow or
// unavailable delays only this thread.
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
  CoordinationThread(const config::Config& config, DispatcherQueue& event_queue, dispatch::Log& log);
  // Stops the thread at once. A lease that leave() has not revoked expires by itself.
  ~CoordinationThread();

  void count_arrival() { ++arrivals_; }              // a request of this process's own traffic
  void acknowledge_load_shares(std::int64_t epoch);  // the dispatcher applies the load shares of this epoch
  void acknowledge_routes(std::int64_t epoch);       // the dispatcher conforms to the routes of this epoch
  void set_outcome_tallies(const routing::OutcomeTallies& tallies);  // as counted by the dispatcher
  // Resigns the leadership and revokes the lease, if the store replies before this object is destroyed.
  void leave();

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

  DispatcherQueue& event_queue_;
  dispatch::Log& log_;
  std::optional<migration::MigrationTask> migration_task_;  // if areas may migrate
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
  std::int64_t posted_routes_epoch_ = -2;  // -1: no routing table; -2: nothing posted yet
  Time posted_routes_expiry_{};
  std::atomic<bool> leaving_{false}, stopping_{false};
  Fd wakeup_;
  Thread thread_;  // declared last: it uses the other members
};

}  // namespace yokestream::net
