// lynxstand: admission control for queries on a pool of engines.
//
// Feed every event that a front sees to AdmissionController::handle() and carry out the actions it appends,
// in order.
//  - Times are points on the caller's clock (nanoseconds, any origin, never backwards); all work is in
//  durations.
//  - The controller owns its state and nothing else: no clock, thread, file, socket or global. The same
//  settings,
//    seed and events give the same actions. One controller may be used by one thread at a time; two share
//    nothing.
//  - Events about queries or engines that the controller no longer holds are ignored.
//  - The constructor throws std::invalid_argument, naming the field, when the settings make no sense.
//  handle() throws
//    std::invalid_argument for an arriving query whose class or tenant the settings do not have.
#pragma once

#include <bitset>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "yokestream/policy/learned_state.h"
#include "yokestream/policy/settings.h"

namespace yokestream::policy {

// ---------------------------------------------------------------- events

// Sets of engines, by the slots that the list gives them.
inline constexpr std::size_t kMaxEngineSlots = 1024;
using EngineSet = std::bitset<kMaxEngineSlots>;

enum class EngineState { up, draining, gone };
struct EngineEntry {
  EngineId engine;
  ZoneId zone{};
  KindId kind{};
  CellId cell{};
  EngineState state = EngineState::up;
  double weight = 1;
  std::optional<Time> start_time;  // its last start, unless long ago
  std::uint32_t slot = 0;          // in sets of engines; kMostSlots or more: in none
};
enum class EngineListKind { delta, full, cached, failed };
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
  double memory_mb = 0;          // 0: not told
  std::optional<Duration> work;  // all its threads' work as one thread's time, as told
  Duration time_left{};
  bool is_retry = false;
  std::optional<EngineSet> eligible_engines;  // it may go to these alone; nullopt: to any
};
enum class Outcome {
  served,
  error,        // may have run
  shed,         // never ran
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
  std::vector<double> load_report;  // as Settings::report_fields; empty: none
  std::optional<Duration> work{};   // served, where answers tell it: what it took, as one thread's time
  double memory_mb = 0;             // the same: what it needed
};
enum class ProgressKind { progress, spilling, waiting_for_memory, waiting_for_table_group };
struct AttemptProgress {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
  ProgressKind kind = ProgressKind::progress;
  double value = 0;  // progress: share done; spills: MB missing
};
struct ResponseStarted {
  QueryId query{};
  AttemptNumber attempt{};
  EngineId engine;
};
struct ClientDisconnected {
  QueryId query{};
};
struct ProbeEnded {
  EngineId engine;
  Outcome outcome = Outcome::served;
  Duration elapsed{};
  std::vector<double> load_report;
};
struct PeerMessage {
  ManagerId sender{};
  std::string payload;
};
struct EligibilityChanged {  // of a query that was told of; what is out goes on. To none: it is given up
  QueryId query{};
  std::optional<EngineSet> eligible_engines;
};
struct TimerFired {
  std::uint64_t token = 0;
};
using Event = std::variant<EngineList, QueryArrived, AttemptEnded, AttemptProgress, ResponseStarted,
                           ClientDisconnected, ProbeEnded, PeerMessage, EligibilityChanged, TimerFired>;

// ---------------------------------------------------------------- actions

struct Send {
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
struct Fail {  // final: promises nothing
  QueryId query{};
};
struct SetExecutionTerms {  // for the query's next Send; the priority also for attempts that are out
  QueryId query{};
  double memory_grant_mb = 0;  // 0: the engine's choice
  std::uint32_t priority = 1;
};
struct Probe {
  EngineId engine;
};
struct BroadcastToPeers {
  std::string payload;  // to every other front
};
struct WatchEngineList {};  // ask to be told of changes to the engine list
struct FetchEngineList {};  // ask for the whole list once
struct StartTimer {
  Duration delay{};
  std::uint64_t token = 0;
};
using Action = std::variant<Send, Cancel, Reject, Fail, SetExecutionTerms, Probe, BroadcastToPeers,
                            WatchEngineList, FetchEngineList, StartTimer>;

class AdmissionController {
 public:
  AdmissionController(const Settings& settings, std::uint64_t seed, Time now);
  ~AdmissionController();
  AdmissionController(AdmissionController&&) noexcept;
  AdmissionController& operator=(AdmissionController&&) noexcept;

  // Takes one event and appends what is to be done to `actions`. `now` must not lie before that of the last
  // call.
  void handle(Time now, const Event& event, std::vector<Action>& actions);
  // Engines that the list names and that get no query for now: they drain, are shunned, or were full.
  std::size_t unavailable_engines() const;

  // What it has learnt so far; and what another one had learnt `age` ago, on the same clock, taken over
  // before the first event. False, and nothing changes: it does not fit the settings (another number of
  // classes or kinds, a number that is none), or events have come. An engine that was started since begins
  // with its kind's weights alone.
  LearnedState learned_state() const;
  bool restore(const LearnedState& learnt, Duration age);
  // From now on this front's part of the load is taken as one over `now_there` at least (1 or more, else
  // nothing is defined); until then that is Settings::fronts. For fronts that come and go.
  void set_manager_count(double now_there);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace yokestream::policy
