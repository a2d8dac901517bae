// The connections to engines: which of them an attempt may use, and when one is closed.
//
// Owns one record a connection; the EnginePort owns the sockets. One thread. Memory: Limits::connections
// records at most.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/engine_directory.h"
#include "dispatch/ports.h"

namespace yokestream::dispatch {

struct EngineConnection {
  std::string uid;  // of the engine
  config::Endpoint endpoint;
  std::int64_t boot_ms = 0;                          // of the engine, as listed
  bool up = false;                                   // false: still connecting
  std::map<std::string, policy::QueryId> in_flight;  // by the request's id
  Time last_activity{};                              // its last byte, or when it began to carry something
  int unanswered_checks = 0;                         // since it was pinged
};

class EngineConnections {
 public:
  struct Limits {
    std::size_t streams_per_connection = 1;
    std::size_t connections = 300;  // over all engines
    Duration idle_timeout{};        // 0: never closed for being idle
    Duration check_after{};         // one in use that is silent for so long is pinged
    int max_unanswered_checks = 4;  // after the ping: it is dead
  };
  EngineConnections(Limits limits, EnginePort& engines) : limits_(limits), engines_(engines) {}

  // A connection to this engine as it is listed now, opened if need be; none of `excluded`, which this
  // request has used before. nullopt: no more can be opened.
  std::optional<EngineConnectionId> acquire(Time now, const std::string& uid, const EngineRecord& engine,
                                            const std::vector<EngineConnectionId>& excluded,
                                            Time connect_deadline);
  EngineConnection* find(EngineConnectionId id);  // nullptr: it is closed
  void add_request(Time now, EngineConnectionId id, const std::string& request_id, policy::QueryId query);
  void remove_request(Time now, EngineConnectionId id, const std::string& request_id);
  void erase(EngineConnectionId id) { connections_.erase(id); }  // the record only
  // Closes connections that are idle for too long, and idle ones to what an engine no longer is. Returns
  // those in use that are dead; the caller closes them.
  std::vector<EngineConnectionId> check(Time now, const EngineDirectory& directory);

 private:
  bool close_one_idle();

  Limits limits_;
  EnginePort& engines_;
  std::map<EngineConnectionId, EngineConnection> connections_;
  std::uint64_t last_id_ = 0;
};

}  // namespace yokestream::dispatch
