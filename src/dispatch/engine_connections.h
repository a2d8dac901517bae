// The connections to engines: which of them an attempt may use, and when one is to be closed.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/engine_directory.h"
#include "dispatch/ports.h"

namespace yokestream::dispatch {

struct EngineConnection {
  std::string uid;
  config::Endpoint endpoint;
  std::int64_t boot_ms = 0;
  bool up = false;
  std::map<std::string, policy::QueryId> carries;  // by the request's id
  Time heard{};                                    // its last byte, or when it last began to carry
  int unheard = 0;                                 // sweeps since it was asked whether it lives
};

class EngineConnections {
 public:
  struct Bounds {
    std::size_t streams = 1;
    std::size_t links = 300;  // over all engines
    Duration idle{};          // closed after; 0: never
    Duration ask_after{};     // with something on it, and nothing heard: it is asked whether it lives
    int sweeps = 4;           // without an answer to that: it is dead
  };
  EngineConnections(Bounds bounds, EnginePort& port) : bounds_(bounds), port_(port) {}

  // A link to this engine as it is now, opened if need be; none of `but`, which this request has used
  // before. nullopt: no more can be opened.
  std::optional<EngineConnectionId> pick(Time now, const std::string& uid, const EngineRecord& engine,
                                         const std::vector<EngineConnectionId>& but, Time dial_deadline);
  EngineConnection* find(EngineConnectionId id);
  void carry(Time now, EngineConnectionId id, const std::string& request_id, policy::QueryId query);
  void release(Time now, EngineConnectionId id, const std::string& request_id);
  void drop(EngineConnectionId id) { links_.erase(id); }
  // Closes what has been idle for too long, and idle links to what an engine no longer is. Returns those that
  // carry something and are dead.
  std::vector<EngineConnectionId> sweep(Time now, const EngineDirectory& directory);

 private:
  bool close_one_idle();

  Bounds bounds_;
  EnginePort& port_;
  std::map<EngineConnectionId, EngineConnection> links_;
  std::uint64_t last_ = 0;
};

}  // namespace yokestream::dispatch
