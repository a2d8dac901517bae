// What the decision module is told (admission_controller.h). Plain values.
#pragma once

#include <bitset>
#include <cstddef>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// Sets of engines, by the slots that the engine list gives them.
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
  std::optional<Time> start_time;  // its last start; nullopt: long ago
  std::uint32_t slot = 0;          // in an EngineSet; kMaxEngineSlots or more: in none
};
enum class EngineListKind {
  delta,   // changes to what was told before
  full,    // the whole list
  cached,  // the whole list as an earlier process knew it
  failed   // the list could not be had
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
  double memory_mb = 0;                       // estimate; 0: not told
  std::optional<Duration> work;               // estimate: all its threads' work as one thread's time
  Duration time_left{};                       // until its client gives up
  bool is_retry = false;                      // the client's, of an earlier request
  std::optional<EngineSet> eligible_engines;  // it may go to these alone; nullopt: to any
};
// The engines that a query may go to have changed. What is in flight goes on; with none left the query is
// rejected.
struct EligibilityChanged {
  QueryId query{};
  std::optional<EngineSet> eligible_engines;
};
struct ClientDisconnected {  // or it cancelled the query: nobody waits for the answer
  QueryId query{};
};

enum class Outcome {
  served,
  error,        // may have run
  shed,         // never ran: the engine turned it away
  timed_out,    // may run still
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
  bool query_finished = false;      // the query has its final answer
  std::vector<double> load_report;  // as Settings::load_report_fields; empty: none
  std::optional<Duration> work{};   // served, where responses report it: as one thread's time
  double memory_mb = 0;             // the same: what it needed
};
enum class ProgressKind { progress, spilling, waiting_for_memory, waiting_for_table_group };
struct AttemptProgress {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
  ProgressKind kind = ProgressKind::progress;
  double value = 0;  // progress: share of the work done, 0 to 1; spilling: megabytes missing
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
struct PeerMessage {  // the payload of another manager's BroadcastToPeers
  ManagerId sender{};
  std::string payload;
};
struct TimerFired {  // of a StartTimer
  std::uint64_t token = 0;
};

using Event = std::variant<EngineList, QueryArrived, AttemptEnded, AttemptProgress, ResponseStarted,
                           ClientDisconnected, ProbeEnded, PeerMessage, EligibilityChanged, TimerFired>;

}  // namespace yokestream::policy
