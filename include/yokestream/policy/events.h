// The events that an AdmissionController handles (admission_controller.h). Plain values.
#pragma once

#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// A set of engines, indexed by the slots that the engine list assigns.
inline constexpr std::size_t kMaxEngineSlots = 1024;
using EngineSet = std::bitset<kMaxEngineSlots>;

enum class EngineState { up, draining, removed };
struct EngineEntry {
  EngineId engine;
  ZoneId zone{};
  KindId kind{};
  CellId cell{};
  EngineState state = EngineState::up;
  double weight = 1;
  std::optional<Time> start_time;  // its last start; nullopt: long ago, or not known
  std::uint32_t slot = 0;          // index into an EngineSet; kMaxEngineSlots or more: in no set
};
enum class EngineListKind {
  delta,   // changes since the previous list
  full,    // the complete list
  cached,  // the complete list as an earlier process stored it
  failed   // the list could not be obtained
};
struct EngineList {
  EngineListKind kind = EngineListKind::full;
  std::vector<EngineEntry> entries;
};

struct QueryArrived {
  QueryId query{};
  ClassId query_class{};
  TenantId tenant{};
  TableGroupId table_group{};
  std::optional<OrderKey> order_key;
  double memory_mb = 0;                       // estimate; 0: unknown
  std::optional<Duration> work;               // estimate: time on a single thread
  Duration time_left{};                       // until the client's deadline
  bool is_retry = false;                      // the client retries an earlier request
  std::optional<EngineSet> eligible_engines;  // nullopt: any engine
};
// The engines that may run a query have changed. Attempts in flight continue. A query that is not in flight
// is rejected if no engine is left.
struct EligibilityChanged {
  QueryId query{};
  std::optional<EngineSet> eligible_engines;
};
// The client disconnected or cancelled the query and no longer waits for the response.
struct ClientDisconnected {
  QueryId query{};
};

enum class Outcome {
  served,
  error,        // may have run
  shed,         // never ran: the engine refused it because of load
  timed_out,    // may still be running
  unreachable,  // never ran
  reset,        // may have run
  cancelled,    // may have run
  never_sent    // never ran
};
struct AttemptEnded {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
  Outcome outcome = Outcome::served;
  Duration elapsed{};
  bool query_finished = false;      // the client has received the final answer
  std::vector<double> load_report;  // in the order of Settings::load_report_fields; empty: no report
  std::optional<Duration> work{};   // reported by the response: time on a single thread
  double memory_mb = 0;             // reported by the response: memory that the query needed
};
enum class ProgressKind { progress, spilling, waiting_for_memory, waiting_for_table_group };
struct AttemptProgress {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
  ProgressKind kind = ProgressKind::progress;
  double value = 0;  // progress: fraction of the work done, 0 to 1; spilling: missing memory in megabytes
};
struct ResponseStarted {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
};

struct ProbeEnded {
  EngineId engine;
  Outcome outcome = Outcome::served;
  Duration elapsed{};
  std::vector<double> load_report;
};
struct PeerMessage {
  ManagerId sender{};
  std::string payload;  // of the sender's BroadcastToPeers
};
struct TimerFired {
  std::uint64_t token = 0;  // of the StartTimer
};

using Event = std::variant<EngineList, QueryArrived, AttemptEnded, AttemptProgress, ResponseStarted,
                           ClientDisconnected, ProbeEnded, PeerMessage, EligibilityChanged, TimerFired>;

}  // namespace yokestream::policy
