// Applies what coordination grants this process to the dispatcher, and acknowledges it once the dispatcher
// acts on it: the part of the fleet's load that it may count on, and the routes of areas that move.
//
// The dispatcher's thread only. Only where the fleet shares a store.
#pragma once

#include <cstdint>

#include "coordination/fleet_member.h"
#include "dispatch/dispatcher.h"
#include "net/coordination_thread.h"
#include "net/events.h"

namespace yokestream::net {

class FleetStateApplier {
 public:
  // Both outlive this.
  FleetStateApplier(dispatch::Dispatcher& dispatcher, CoordinationThread& coordination)
      : dispatcher_(dispatcher), coordination_(coordination) {}

  void on_load_grant_changed(const LoadGrantChanged& event) { grant_ = event.grant; }
  void on_routes_changed(const RoutesChanged& event);
  void on_request_received() { coordination_.count_arrival(); }
  void begin_shutdown() { coordination_.leave(); }

  // Once each iteration of the dispatcher's loop: what has come into effect, or lapsed, by now.
  void tick();

 private:
  void apply_load_share();
  void acknowledge_routes();
  void report_outcomes();

  dispatch::Dispatcher& dispatcher_;
  CoordinationThread& coordination_;
  coordination::FleetMember::LoadGrant grant_;   // the last one; it lapses with time
  coordination::LoadShare applied_share_ = 0;    // what the dispatcher acts on
  std::int64_t acknowledged_grant_epoch_ = -1;   // of the table that says so
  std::int64_t acknowledged_routes_epoch_ = -1;  // of the routes that the dispatcher conforms to
  Time next_report_{};
};

}  // namespace yokestream::net
