// Identifiers and settings of an AdmissionController (admission_controller.h).
#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace yokestream::policy {

using Duration = std::chrono::nanoseconds;
// Type of the caller's clock. It has no now(): times are always passed in.
struct CallerClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<CallerClock>;
  static constexpr bool is_steady = true;
};
using Time = CallerClock::time_point;

enum class QueryId : std::uint64_t {};
enum class ClassId : std::uint32_t {};   // position in Settings::classes
enum class TenantId : std::uint32_t {};  // position in Settings::tenants
enum class ZoneId : std::uint32_t {};
enum class KindId : std::uint32_t {};        // position in Settings::kinds
enum class CellId : std::uint64_t {};        // of engines within DeduplicationScope::cell
enum class TableGroupId : std::uint64_t {};  // of the tables that ClassSettings::locks_table_group locks
enum class OrderKey : std::uint64_t {};
enum class ManagerId : std::uint32_t {};
enum class AttemptNumber : std::uint32_t {};  // 0, 1, 2 ... in the order of the query's Sends
struct EngineId {
  std::string name;
  auto operator<=>(const EngineId&) const = default;
};

// Whether a query may run twice. keyed: engines discard duplicates by their idempotency key.
enum class Idempotency { idempotent, keyed, non_idempotent };
// Keyed queries: the engines among which a duplicate is recognized: all, or those with the same zone or cell.
enum class DeduplicationScope { everywhere, zone, cell };
// How the engine list reaches the manager.
enum class EngineListSource { pushed, on_request };
// Where load reports come from.
enum class LoadReportSource { none, responses, probes };
// What an engine does when memory grants exceed its memory.
enum class MemoryShortage { wait, shrink, page };
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
  // A response within latency_objective + latency_objective_stretch x work / threads earns the full weight.
  Duration latency_objective{};
  double latency_objective_stretch = 0;
  Duration deadline{};  // how long a client waits, over all of its retries
  double priority_weight = 1;
  double late_weight_ratio = 0;  // fraction of the weight that a response after the objective earns
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Duration deduplication_window{};  // how long engines remember a key, from the first send that may have run
  bool ordered = false;             // queries of one OrderKey run one at a time, in order of arrival
  bool streamed = false;
  std::vector<ZoneId> allowed_zones;   // empty: any
  std::vector<KindId> allowed_kinds;   // empty: any
  double threads = 1;                  // used by one query
  bool locks_table_group = false;      // holds an exclusive lock on its table group while it runs
  bool waits_for_table_group = false;  // makes no progress while its table group is locked
};
struct KindSettings {
  double cores = 1;
  double memory_mb = 0;  // 0: unknown
};
struct TenantSettings {
  // 0: not set. Default of the tenant's weight in the throttle and, added up per team, of the team's share of
  // the engines' throughput in the scheduler.
  double share = 0;
  double quota_per_s = 0;  // queries per second; 0: no quota
};
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  std::size_t zones = 1;
  ZoneId local_zone{};
  ManagerId manager_id{};
  std::uint32_t manager_count = 1;  // managers that share the engines, including this one
  Duration time_granularity{};      // minimum difference between the times of two calls

  bool may_cancel = false;            // attempts can be cancelled
  bool may_probe = false;             // engines can be probed
  bool may_message = false;           // messages can be sent to other managers
  bool may_hedge = false;             // a query may have two attempts in flight
  bool may_send_retry_after = false;  // clients receive Reject::retry_after
  Duration max_retry_after{};
  std::uint32_t max_attempts = 1;  // per query
  EngineListSource engine_list_source = EngineListSource::pushed;
  LoadReportSource load_report_source = LoadReportSource::none;
  std::vector<LoadReportField> load_report_fields;

  bool memory_grants = false;         // engines honor SetExecutionTerms::memory_grant_mb
  bool query_priorities = false;      // engines honor SetExecutionTerms::priority
  double max_memory_grant_ratio = 1;  // of an engine's memory, per query
  MemoryShortage memory_shortage = MemoryShortage::wait;
  Duration progress_interval{};        // time between two progress reports of an attempt; 0: no reports
  bool reports_cost = false;           // responses report the work and the memory that a query needed
  double over_quota_weight_ratio = 1;  // factor on the weight of queries beyond the tenant's quota

  Duration answer_slack{};  // a final answer is due within this time after the deadline
  // For this time after an engine starts draining, a send to it is not a violation.
  Duration drain_grace{};
  double slow_start_initial_ratio = 1;  // fraction of its capacity that an engine has when it starts
  Duration slow_start_window{};         // an engine is warm after this time; 0: engines start warm
  // An engine in slow start becomes overloaded if the work sent to it within cold_overload_window exceeds
  // this multiple of the work that its current capacity can do in that time.
  double cold_overload_multiple = 0;  // 0: no limit
  Duration cold_overload_window{};
  Duration engine_list_request_deadline{};  // the list must be requested within this time
  Duration order_pause{};  // pause of an order key after an attempt that may still be running
  // Within retry_budget_window, at most retry_budget_min_retries + retry_budget_ratio x (requests that
  // arrived in the window) retries are sent.
  bool retry_budget_enabled = false;
  double retry_budget_min_retries = 0;
  double retry_budget_ratio = 0;
  Duration retry_budget_window{};
};

}  // namespace yokestream::policy
