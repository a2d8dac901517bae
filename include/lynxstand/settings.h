// The names of things and the settings of an AdmissionController (admission.h).
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
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

}  // namespace lynxstand
