// The engines named by the engine list, and the address of each.
//
// Owns one record per engine, which is removed 60 s after the engine has gone. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "config/config.h"
#include "dispatch/engine_start_times.h"
#include "dispatch/ports.h"

namespace yokestream::dispatch {

struct EngineRecord {
  config::Endpoint endpoint;
  std::int64_t boot_ms = 0;
  policy::KindId kind{};
  policy::EngineState state = policy::EngineState::removed;
  std::optional<Time> gone_since;
};

class EngineDirectory {
 public:
  using SteadyFromUnix = EngineStartTimes::SteadyFromUnix;
  // `names`: supplies the names of zones and kinds by position.
  EngineDirectory(const config::RealSettings& names, SteadyFromUnix steady_from_unix)
      : names_(names), start_times_(std::move(steady_from_unix)) {}

  // Applies an event of the engine list and returns it converted to a policy::EngineList. `cached`: the list
  // was stored before this process started.
  policy::EngineList apply(Time now, const config::MembersEvent& event, bool cached);
  // Removes engines that have been gone for 60 s.
  void forget_gone(Time now);
  // The cores of all engines that are up. An engine of an unknown kind counts as 0.
  double cores_up(const std::vector<policy::KindSettings>& kinds) const;
  std::size_t known_count() const { return engines_.size(); }
  std::size_t listed_count() const;  // up or draining

  bool has(const std::string& uid) const { return engines_.count(uid) > 0; }
  // Returns nullptr if nothing may be sent to the engine: it is not up, or another engine has its address.
  const EngineRecord* find_available(const std::string& uid) const;

 private:
  void update_gone_since(EngineRecord& record, Time now);
  void update_endpoint_owner(const config::Endpoint& endpoint, const config::Member& member);

  const config::RealSettings& names_;
  std::map<std::string, EngineRecord> engines_;
  std::map<config::Endpoint, std::string> uid_of_endpoint_;  // the engine that owns the address
  EngineStartTimes start_times_;
};

}  // namespace yokestream::dispatch
