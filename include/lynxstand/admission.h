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

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lynxstand {

using Duration = std::chrono::nanoseconds;
struct FrontClock {  // the caller's clock; only its type matters here
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<FrontClock>;
  static constexpr bool is_steady = true;
};
using Time = FrontClock::time_point;

enum class QueryId : std::uint64_t {};
enum class ClassId : std::uint32_t {};
enum class TenantId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class KindId : std::uint32_t {};
enum class CellId : std::uint64_t {};
enum class TableGroupId : std::uint64_t {};
enum class OrderKey : std::uint64_t {};
enum class FrontId : std::uint32_t {};
enum class AttemptNo : std::uint32_t {};  // 0, 1, 2 ... in the order of a query's Sends
struct EngineId {
  std::string name;
  auto operator<=>(const EngineId&) const = default;
};

// ---------------------------------------------------------------- settings

enum class Repeatable { always, keyed, never };     // may a query run twice?
enum class RepeatGroup { everywhere, zone, cell };  // keyed: the engines that drop a repeat
enum class ListSource { pushed, on_request };       // how the engine list reaches the front
enum class ReportSource { none, answers, probes };  // where load reports come from
enum class MemoryShort { wait, shrink, page };      // what an engine does when grants pass its memory
enum class ReportField { inflight, queue, cpu, latency_ms, served_per_s, errors_per_s, memory, disks, other };

struct ClassSettings {
  std::string name;
  Duration aim{};  // answered within this (longer by aim_stretch x work / threads): full worth
  double aim_stretch = 0;
  Duration deadline{};  // what a client waits over all of its tries
  double worth = 1;
  double late_worth = 0;  // share of the worth after the aim
  Repeatable repeatable = Repeatable::always;
  RepeatGroup repeat_group = RepeatGroup::everywhere;
  Duration repeat_window{};  // keyed: how long an engine remembers, from the first send that may have run
  bool in_order = false;     // queries of one OrderKey run one at a time, in order of arrival
  bool streamed = false;
  std::vector<ZoneId> only_zones;  // empty: any
  std::vector<KindId> only_kinds;  // empty: any
  double threads = 1;              // threads that a query runs on
  bool loads_tables = false;       // holds its table group while it runs
  bool waits_for_loads = false;    // stands still while its table group is held
};
struct KindSettings {
  double cores = 1;
  double memory_mb = 0;  // 0: not told
};
struct TenantSettings {
  double share = 0;
  double quota_per_s = 0;  // 0: none
};
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  std::size_t zones = 1;
  ZoneId my_zone{};
  FrontId me{};
  std::uint32_t fronts = 1;  // fronts in this tier
  Duration granularity{};    // shortest time between two calls at different times

  bool may_cancel = false;
  bool may_probe = false;
  bool may_message = false;
  bool may_overlap = false;      // two attempts of a query at once
  bool may_advise_wait = false;  // clients hear Refuse::come_back_after
  Duration most_wait_advice{};
  std::uint32_t most_attempts = 1;
  ListSource list_source = ListSource::pushed;
  ReportSource reports = ReportSource::none;
  std::vector<ReportField> report_fields;

  bool grants = false;      // engines heed SetTerms::memory_mb
  bool priorities = false;  // engines heed SetTerms::priority
  double most_grant = 1;    // share of an engine's memory that one query gets at most
  MemoryShort memory_short = MemoryShort::wait;
  Duration note_every{};        // time between progress notes; 0: none
  bool tells_cost = false;      // answers tell the work and memory that a query needed
  double over_share_worth = 1;  // worth of a query beyond its tenant's share, as a share of its class's

  Duration answer_slack{};
  Duration drain_grace{};
  double start_capacity = 1;  // share of its capacity at which an engine starts
  Duration cold{};            // warm after this; 0: engines start warm
  double tip_multiple = 0;    // 0: no such limit
  Duration tip_after{};
  Duration ask_within{};
  Duration order_pause{};
  bool extra_limited = false;  // are further attempts rationed?
  double extra_free = 0;
  double extra_ratio = 0;
  Duration extra_span{};
};

// ---------------------------------------------------------------- events

enum class EngineState { up, draining, gone };
struct EngineEntry {
  EngineId engine;
  ZoneId zone{};
  KindId kind{};
  CellId cell{};
  EngineState state = EngineState::up;
  double weight = 1;
  std::optional<Time> started;  // its last start, unless long ago
};
enum class ListKind { changes, full, remembered, failed };
struct EngineList {
  ListKind kind = ListKind::full;
  std::vector<EngineEntry> entries;
};
struct QueryArrived {
  QueryId query{};
  ClassId cls{};
  TenantId tenant{};
  TableGroupId tables{};
  std::optional<OrderKey> order_key;
  double memory_mb = 0;          // 0: not told
  std::optional<Duration> work;  // all its threads' work as one thread's time, as told
  Duration time_left{};
  bool repeat = false;
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
  AttemptNo attempt{};
  EngineId engine;
  Outcome outcome = Outcome::served;
  Duration took{};
  bool finished = false;           // the query has its final answer
  std::vector<double> report;      // as Settings::report_fields; empty: none
  std::optional<Duration> work{};  // served, where answers tell it: what it took, as one thread's time
  double memory_mb = 0;            // the same: what it needed
};
enum class Note { progress, spills, waits_for_memory, waits_for_load };
struct AttemptNote {
  QueryId query{};
  AttemptNo attempt{};
  EngineId engine;
  Note note = Note::progress;
  double value = 0;  // progress: share done; spills: MB missing
};
struct AnswerStarted {
  QueryId query{};
  AttemptNo attempt{};
  EngineId engine;
};
struct ClientLeft {
  QueryId query{};
};
struct ProbeEnded {
  EngineId engine;
  Outcome outcome = Outcome::served;
  Duration took{};
  std::vector<double> report;
};
struct PeerMessage {
  FrontId from{};
  std::string payload;
};
struct Woken {
  std::uint64_t token = 0;
};
using Event = std::variant<EngineList, QueryArrived, AttemptEnded, AttemptNote, AnswerStarted, ClientLeft,
                           ProbeEnded, PeerMessage, Woken>;

// ---------------------------------------------------------------- actions

struct Send {
  QueryId query{};
  EngineId engine;
  Duration time_out{};  // 0: until the client gives up
};
struct Cancel {
  QueryId query{};
  AttemptNo attempt{};
};
struct Refuse {  // final: trying again is harmless
  QueryId query{};
  Duration come_back_after{};  // 0: no advice
};
struct Fail {  // final: promises nothing
  QueryId query{};
};
struct SetTerms {  // for the query's next Send; the priority also for attempts that are out
  QueryId query{};
  double memory_mb = 0;  // 0: the engine's choice
  std::uint32_t priority = 1;
};
struct Probe {
  EngineId engine;
};
struct TellPeers {
  std::string payload;  // to every other front
};
struct FollowList {};  // ask to be told of changes to the engine list
struct FetchList {};   // ask for the whole list once
struct WakeAfter {
  Duration after{};
  std::uint64_t token = 0;
};
using Action =
    std::variant<Send, Cancel, Refuse, Fail, SetTerms, Probe, TellPeers, FollowList, FetchList, WakeAfter>;

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
  std::size_t avoided() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace lynxstand
