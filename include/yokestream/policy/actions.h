// The actions that an AdmissionController requests from its caller (admission_controller.h). Plain values.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// Starts the next attempt of a query.
struct Send {
  QueryId query{};
  EngineId engine;
  Duration timeout{};  // 0: until the client's deadline
  // No byte may be sent later than this from now, however long the connection takes; 0: no limit.
  Duration valid_for{};
};
struct Cancel {
  QueryId query{};
  AttemptNumber attempt{};
};
// Final answer. The client can safely retry: the query did not run, or it may run twice.
struct Reject {
  QueryId query{};
  Duration retry_after{};  // 0: no advice
};
// Final answer. The query may have run, so a retry by the client may run it twice.
struct Fail {
  QueryId query{};
};
// Applies to the query's next Send; the priority also applies to attempts that are in flight.
struct SetExecutionTerms {
  QueryId query{};
  double memory_grant_mb = 0;  // 0: the engine decides
  std::uint32_t priority = 1;  // 0 to 3, higher is served first
};
struct Probe {
  EngineId engine;
};
struct BroadcastToPeers {
  std::string payload;  // sent to every other manager
};
// Subscribes to changes of the engine list.
struct WatchEngineList {};
// Requests the full engine list once.
struct FetchEngineList {};
// Requests a TimerFired event with this token after the delay.
struct StartTimer {
  Duration delay{};
  std::uint64_t token = 0;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetExecutionTerms, Probe, BroadcastToPeers,
                            WatchEngineList, FetchEngineList, StartTimer>;

}  // namespace yokestream::policy
