#include "net/fleet_state_applier.h"

#include <utility>

namespace yokestream::net {
namespace {

constexpr Duration kReportInterval = std::chrono::milliseconds(500);

}  // namespace

// Like load shares, routes are used only until a safety margin before their lease expires.
void FleetStateApplier::on_routes_changed(const RoutesChanged& event) {
  const Time until = event.table ? coordination::with_lease_margin(event.valid_until) : Time::min();
  dispatcher_.apply_routes(now(), event.table.value_or(routing::RouteTable{}), until);
}

void FleetStateApplier::tick() {
  apply_load_share();
  acknowledge_routes();
  report_outcomes();
}

void FleetStateApplier::apply_load_share() {
  const auto share = grant_.share_at(now());
  if (share > 0 && std::exchange(applied_share_, share) != share)
    dispatcher_.set_manager_count(static_cast<double>(coordination::kFullLoad) / static_cast<double>(share));
  if (std::exchange(acknowledged_grant_epoch_, grant_.epoch) != grant_.epoch)
    coordination_.acknowledge_load_shares(grant_.epoch);
}

// Acknowledges a routing epoch once no attempt that it forbids is in flight.
void FleetStateApplier::acknowledge_routes() {
  const std::int64_t epoch = dispatcher_.routes_epoch();
  if (acknowledged_routes_epoch_ == epoch || !dispatcher_.conforms_to_routes()) return;
  acknowledged_routes_epoch_ = epoch;
  coordination_.acknowledge_routes(epoch);
}

void FleetStateApplier::report_outcomes() {
  if (dispatcher_.outcome_tallies().empty() || now() < next_report_) return;
  next_report_ = now() + kReportInterval;
  coordination_.set_outcome_tallies(dispatcher_.outcome_tallies());
}

}  // namespace yokestream::net
