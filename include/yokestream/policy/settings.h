// The names of things and the settings of an AdmissionController (admission.h).
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace yokestream::policy {

using Duration = std::chrono::nanoseconds;
struct CallerClock {  // the caller's clock; only its type matters here
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
using Time = CallerClock::time_point;

enum class QueryId : std::uint64_t {};
enum class ClassId : std::uint32_t {};
enum class TenantId : std::uint32_t {};
enum class ZoneId : std::uint32_t {};
enum class KindId : std::uint32_t {};
enum class CellId : std::uint64_t {};
enum class TableGroupId : std::uint64_t {};
enum class OrderKey : std::uint64_t {};
enum class ManagerId : std::uint32_t {};
enum class AttemptNumber : std::uint32_t {};  // 0, 1, 2 ... in the order of a query's Sends
struct EngineId {
  std::string name;
  auto operator<=>(const EngineId&) const = default;
};

enum class Idempotency { idempotent, keyed, non_idempotent };  // may a query run twice?
enum class DeduplicationScope { everywhere, zone, cell };      // keyed: the engines that drop a repeat
enum class EngineListSource { pushed, on_request };            // how the engine list reaches the front
enum class LoadReportSource { none, answers, probes };         // where load reports come from
enum class MemoryShortage { wait, shrink, page };  // what an engine does when grants pass its memory
enum class LoadReportField {
  inflight,
  queue,
  cpu,
  latency_ms,
  served_per_s,
  errors_per_s,
  memory,
  disks,
  other
};

struct ClassSettings {
  std::string name;
  Duration latency_objective{};  // answered within this (longer by aim_stretch x work / threads): full worth
  double latency_objective_stretch = 0;
  Duration deadline{};  // what a client waits over all of its tries
  double priority_weight = 1;
  double late_weight_ratio = 0;  // share of the worth after the aim
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Duration
      deduplication_window{};  // keyed: how long an engine remembers, from the first send that may have run
  bool ordered = false;        // queries of one OrderKey run one at a time, in order of arrival
  bool streamed = false;
  std::vector<ZoneId> allowed_zones;   // empty: any
  std::vector<KindId> allowed_kinds;   // empty: any
  double threads = 1;                  // threads that a query runs on
  bool locks_table_group = false;      // holds its table group while it runs
  bool waits_for_table_group = false;  // stands still while its table group is held
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
  ZoneId local_zone{};
  ManagerId manager_id{};
  std::uint32_t manager_count = 1;  // fronts in this tier
  Duration time_granularity{};      // shortest time between two calls at different times

  bool may_cancel = false;
  bool may_probe = false;
  bool may_message = false;
  bool may_hedge = false;             // two attempts of a query at once
  bool may_send_retry_after = false;  // clients hear Refuse::come_back_after
  Duration max_retry_after{};
  std::uint32_t max_attempts = 1;
  EngineListSource engine_list_source = EngineListSource::pushed;
  LoadReportSource load_report_source = LoadReportSource::none;
  std::vector<LoadReportField> load_report_fields;

  bool memory_grants = false;         // engines heed SetTerms::memory_mb
  bool query_priorities = false;      // engines heed SetTerms::priority
  double max_memory_grant_ratio = 1;  // share of an engine's memory that one query gets at most
  MemoryShortage memory_shortage = MemoryShortage::wait;
  Duration progress_interval{};  // time between progress notes; 0: none
  bool reports_cost = false;     // answers tell the work and memory that a query needed
  double over_quota_weight_ratio =
      1;  // worth of a query beyond its tenant's share, as a share of its class's

  Duration answer_slack{};
  Duration drain_grace{};
  double slow_start_initial_ratio = 1;  // share of its capacity at which an engine starts
  Duration slow_start_window{};         // warm after this; 0: engines start warm
  double cold_overload_multiple = 0;    // 0: no such limit
  Duration cold_overload_window{};
  Duration engine_list_request_deadline{};
  Duration order_pause{};
  bool retry_budget_enabled = false;  // are further attempts rationed?
  double retry_budget_min_retries = 0;
  double retry_budget_ratio = 0;
  Duration retry_budget_window{};
};

}  // namespace yokestream::policy
