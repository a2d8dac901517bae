// Tracks the connections to engines: which of them an attempt may use, and when one is closed.
//
// Owns one record per connection; the EnginePort owns the sockets. Not thread-safe. Memory: at most
// Limits::connections records.
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
  std::int64_t boot_ms = 0;                          // of the engine, from the engine list
  bool up = false;                                   // false while connecting
  std::map<std::string, policy::QueryId> in_flight;  // by request id
  Time last_activity{};       // last byte received, or when the connection last became used or idle
  int unanswered_checks = 0;  // checks since the ping was sent
};

class EngineConnections {
 public:
  struct Limits {
    std::size_t streams_per_connection = 1;
    std::size_t connections = 300;  // to all engines together
    Duration idle_timeout{};        // 0: idle connections are kept
    Duration check_after{};         // pings a connection with requests in flight after this long a silence
    int max_unanswered_checks = 4;  // after the ping; with more the connection is considered dead
  };
  EngineConnections(Limits limits, EnginePort& engines) : limits_(limits), engines_(engines) {}

  // Returns a connection to the engine as it is listed now, and opens one if needed. Connections in
  // `excluded`, which the same request has used before, are not returned. nullopt if the limit is reached.
  std::optional<EngineConnectionId> acquire(Time now, const std::string& uid, const EngineRecord& engine,
                                            const std::vector<EngineConnectionId>& excluded,
                                            Time connect_deadline);
  EngineConnection* find(EngineConnectionId id);  // nullptr if the connection is closed
  void add_request(Time now, EngineConnectionId id, const std::string& request_id, policy::QueryId query);
  void remove_request(Time now, EngineConnectionId id, const std::string& request_id);
  void erase(EngineConnectionId id) { connections_.erase(id); }  // removes the record, closes no socket
  // Closes idle connections that exceeded the timeout, or whose engine is unavailable or was replaced.
  // Returns the dead connections with requests in flight, which the caller closes.
  std::vector<EngineConnectionId> check(Time now, const EngineDirectory& directory);

 private:
  bool close_one_idle();

  Limits limits_;
  EnginePort& engines_;
  std::map<EngineConnectionId, EngineConnection> connections_;
  std::uint64_t last_id_ = 0;
};

}  // namespace yokestream::dispatch
