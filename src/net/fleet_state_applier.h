// Applies the load share and the routes of movable areas that coordination grants this process to the
// dispatcher, and acknowledges them once they are in effect.
//
// Used by the dispatcher's thread only, and only if the fleet shares a store.
#pragma once

#include <cstdint>

#include "coordination/fleet_member.h"
#include "dispatch/dispatcher.h"
#include "net/coordination_thread.h"
#include "net/events.h"

namespace yokestream::net {

class FleetStateApplier {
 public:
  // Both must outlive this object.
  FleetStateApplier(dispatch::Dispatcher& dispatcher, CoordinationThread& coordination)
      : dispatcher_(dispatcher), coordination_(coordination) {}

  void on_load_grant_changed(const LoadGrantChanged& event) { grant_ = event.grant; }
  void on_routes_changed(const RoutesChanged& event);
  void on_request_received() { coordination_.count_arrival(); }
  void begin_shutdown() { coordination_.leave(); }

  // Called once in each iteration of the dispatcher's loop. Applies grants that took effect or expired.
  void tick();

 private:
  void apply_load_share();
  void acknowledge_routes();
  void report_outcomes();

  dispatch::Dispatcher& dispatcher_;
  CoordinationThread& coordination_;
  coordination::FleetMember::LoadGrant grant_;   // the last one received; it expires
  coordination::LoadShare applied_share_ = 0;    // the share that the dispatcher uses
  std::int64_t acknowledged_grant_epoch_ = -1;   // of the load share table
  std::int64_t acknowledged_routes_epoch_ = -1;  // of the routing table
  Time next_report_{};
};

}  // namespace yokestream::net
