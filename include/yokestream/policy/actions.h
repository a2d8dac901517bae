// What the decision module asks for (admission_controller.h). Plain values.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

struct Send {  // the next attempt of a query
  QueryId query{};
  EngineId engine;
  Duration timeout{};  // 0: until the client gives up
};
struct Cancel {
  QueryId query{};
  AttemptNumber attempt{};
};
struct Reject {  // final: trying again is harmless
  QueryId query{};
  Duration retry_after{};  // 0: no advice
};
struct Fail {  // final: it may have run, and trying again may run it twice
  QueryId query{};
};
struct SetExecutionTerms {  // for the query's next Send; the priority also for attempts in flight
  QueryId query{};
  double memory_grant_mb = 0;  // 0: the engine's choice
  std::uint32_t priority = 1;  // 0 to 3, higher is served first
};
struct Probe {
  EngineId engine;
};
struct BroadcastToPeers {
  std::string payload;  // to every other manager
};
struct WatchEngineList {};  // ask to be told of changes to the engine list
struct FetchEngineList {};  // ask for the whole list once
struct StartTimer {         // answered by TimerFired with this token
  Duration delay{};
  std::uint64_t token = 0;
};

using Action = std::variant<Send, Cancel, Reject, Fail, SetExecutionTerms, Probe, BroadcastToPeers,
                            WatchEngineList, FetchEngineList, StartTimer>;

}  // namespace yokestream::policy
