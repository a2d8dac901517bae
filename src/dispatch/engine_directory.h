// The engines that the engine list has named, and the address of each.
//
// Owns one record an engine, until 60 s after it is gone. One thread.
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
  using FromUnix = EngineStartTimes::FromUnix;
  EngineDirectory(const config::RealSettings& names, FromUnix from_unix)
      : names_(names), start_times_(std::move(from_unix)) {}

  // Applies a watch event and returns it for the decision module. `cached`: the list is from before this
  // process watched it.
  policy::EngineList apply(Time now, const config::MembersEvent& event, bool cached);
  // Forgets engines that have been gone for long.
  void forget_gone(Time now);
  // Of all engines that are up; one of an unknown kind counts as 0.
  double cores_up(const std::vector<policy::KindSettings>& kinds) const;
  std::size_t known_count() const { return engines_.size(); }
  std::size_t listed_count() const;  // up or draining

  bool has(const std::string& uid) const { return engines_.count(uid) > 0; }
  // nullptr: nothing may be sent there, as it is not up or its address has gone to another.
  const EngineRecord* find_available(const std::string& uid) const;

 private:
  void note_gone(EngineRecord& record, Time now);
  void claim_endpoint(const config::Endpoint& endpoint, const config::Member& member);

  const config::RealSettings& names_;
  std::map<std::string, EngineRecord> engines_;
  std::map<config::Endpoint, std::string> uid_of_endpoint_;  // the engine that an address belongs to
  EngineStartTimes start_times_;
};

}  // namespace yokestream::dispatch
