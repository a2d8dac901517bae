// The engines that the feed has named, and where each of them is.
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
  policy::EngineState state = policy::EngineState::gone;
  std::optional<Time> gone_since;
};

class EngineDirectory {
 public:
  using FromUnix = EngineStartTimes::FromUnix;
  EngineDirectory(const config::RealSettings& names, FromUnix from_unix)
      : names_(names), starts_(std::move(from_unix)) {}

  // Takes in an event and returns it as the module is to hear it.
  policy::EngineList apply(Time now, const config::MembersEvent& event, bool remembered);
  // Drops what is known of engines that went long ago.
  void forget(Time now);
  // Of all engines that are up; a kind that is not told of counts for nothing.
  double cores_up(const std::vector<policy::KindSettings>& kinds) const;
  std::size_t known() const { return engines_.size(); }
  std::size_t listed() const;  // those that the list names: up or draining

  bool has(const std::string& uid) const { return engines_.count(uid) > 0; }
  // nullptr: nothing may be sent there, as it is not up or its address has gone to another.
  const EngineRecord* find_available(const std::string& uid) const;

 private:
  void note_gone(EngineRecord& record, Time now);
  void claim(const config::Endpoint& endpoint, const config::Member& member);

  const config::RealSettings& names_;
  std::map<std::string, EngineRecord> engines_;
  std::map<config::Endpoint, std::string> owners_;  // who was last named at an address
  EngineStartTimes starts_;
};

}  // namespace yokestream::dispatch
