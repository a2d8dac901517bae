// Determines which engines a request may use under the fleet's routing table, and tallies the outcomes of
// requests in areas that are being migrated.
//
// Owns the router and the tallies. Invariants: a request of a closed area is rejected immediately and never
// queued. An attempt that was sent under an earlier table is not cancelled by a new one. Pure, not
// thread-safe.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "dispatch/request.h"
#include "routing/outcome_tally.h"
#include "routing/router.h"

namespace yokestream::dispatch {

class RouteGuard {
 public:
  explicit RouteGuard(const config::Config& config);

  // Installs the table if its epoch differs from the current one, and sets the expiry of the lease. Attempts
  // in movable areas are written before `lease_expiry` or not at all.
  void apply(const routing::RouteTable& table, Time lease_expiry);
  bool enabled() const { return router_.enabled(); }
  std::int64_t epoch() const { return router_.epoch(); }
  Time lease_expiry() const { return router_.lease_expiry(); }

  // Sets the slot of each engine in the list; engine sets identify engines by slot.
  void assign_slots(const config::MembersEvent& event, policy::EngineList& list);
  void retain_engines(const std::function<bool(const std::string& uid)>& is_known);

  routing::Route route_of(Time now, const RequestReceived& request) const;
  // Returns the engines that the route allows; nullopt if it allows every engine.
  static std::optional<policy::EngineSet> eligible_engines(const routing::Route& route);
  bool excludes(const routing::Route& route, const std::string& engine_uid) const;

  void record_outcome(Time now, const Request& request, bool served);
  const routing::OutcomeTallies& outcome_tallies() const { return tallies_; }

 private:
  const policy::ClassSettings& class_of(const RequestReceived& request) const;

  const config::Config& config_;
  routing::Router router_;
  routing::OutcomeTallies tallies_;
};

}  // namespace yokestream::dispatch
