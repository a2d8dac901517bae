// Which engines a request may go to by the fleet's routing table, and the outcomes of areas that move.
//
// Owns the router and the tallies. Invariants: a request of an area that is closed is rejected at once, never
// queued; what was sent under an earlier table runs to its end. Pure, one thread.
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

  // Replaces the table where its epoch differs; attempts in areas that a table touches leave before
  // `lease_expiry` or never.
  void apply(const routing::RouteTable& table, Time lease_expiry);
  bool enabled() const { return router_.enabled(); }
  std::int64_t epoch() const { return router_.epoch(); }
  Time lease_expiry() const { return router_.lease_expiry(); }

  // Gives each engine of the list the slot by which engine sets name it.
  void assign_slots(const config::MembersEvent& event, policy::EngineList& list);
  void retain_engines(const std::function<bool(const std::string& uid)>& is_known);

  routing::Route route_of(Time now, const RequestReceived& request) const;
  // The engines that a route allows; nullopt: every engine.
  static std::optional<policy::EngineSet> eligible_engines(const routing::Route& route);
  bool bars(const routing::Route& route, const std::string& engine_uid) const;

  void record_outcome(Time now, const Request& request, bool served);
  const routing::OutcomeTallies& outcome_tallies() const { return tallies_; }

 private:
  const policy::ClassSettings& class_of(const RequestReceived& request) const;

  const config::Config& config_;
  routing::Router router_;
  routing::OutcomeTallies tallies_;
};

}  // namespace yokestream::dispatch
