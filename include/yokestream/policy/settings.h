// The identifiers and the settings of an AdmissionController (admission_controller.h).
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
enum class ClassId : std::uint32_t {};   // position in Settings::classes
enum class TenantId : std::uint32_t {};  // position in Settings::tenants
enum class ZoneId : std::uint32_t {};
enum class KindId : std::uint32_t {};  // position in Settings::kinds
enum class CellId : std::uint64_t {};
enum class TableGroupId : std::uint64_t {};
enum class OrderKey : std::uint64_t {};
enum class ManagerId : std::uint32_t {};
enum class AttemptNumber : std::uint32_t {};  // 0, 1, 2 ... in the order of a query's Sends
struct EngineId {
  std::string name;
  auto operator<=>(const EngineId&) const = default;
};

// Whether a query may run twice. Keyed: engines drop the duplicate by its idempotency key.
enum class Idempotency { idempotent, keyed, non_idempotent };
// Keyed queries: the engines that drop a duplicate of what one of them ran.
enum class DeduplicationScope { everywhere, zone, cell };
// How the engine list reaches the manager.
enum class EngineListSource { pushed, on_request };
// Where load reports come from.
enum class LoadReportSource { none, responses, probes };
// What an engine does when grants pass its memory.
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
  // A response within latency_objective + latency_objective_stretch x work / threads has its full weight.
  Duration latency_objective{};
  double latency_objective_stretch = 0;
  Duration deadline{};  // that a client waits over all of its tries
  double priority_weight = 1;
  double late_weight_ratio = 0;  // of the weight, after the objective
  Idempotency idempotency = Idempotency::idempotent;
  DeduplicationScope deduplication_scope = DeduplicationScope::everywhere;
  Duration deduplication_window{};  // that an engine remembers, from the first send that may have run
  bool ordered = false;             // queries of one OrderKey run one at a time, in order of arrival
  bool streamed = false;
  std::vector<ZoneId> allowed_zones;   // empty: any
  std::vector<KindId> allowed_kinds;   // empty: any
  double threads = 1;                  // that a query runs on
  bool locks_table_group = false;      // while it runs
  bool waits_for_table_group = false;  // stands still while its table group is locked
};
struct KindSettings {
  double cores = 1;
  double memory_mb = 0;  // 0: not told
};
struct TenantSettings {
  double share = 0;
  double quota_per_s = 0;  // queries; 0: none
};
struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<TenantSettings> tenants;
  std::size_t zones = 1;
  ZoneId local_zone{};
  ManagerId manager_id{};
  std::uint32_t manager_count = 1;  // that share the engines, this one included
  Duration time_granularity{};      // shortest time between two calls at different times

  bool may_cancel = false;            // attempts
  bool may_probe = false;             // engines
  bool may_message = false;           // other managers
  bool may_hedge = false;             // two attempts of a query at once
  bool may_send_retry_after = false;  // clients are told Reject::retry_after
  Duration max_retry_after{};
  std::uint32_t max_attempts = 1;  // of one query
  EngineListSource engine_list_source = EngineListSource::pushed;
  LoadReportSource load_report_source = LoadReportSource::none;
  std::vector<LoadReportField> load_report_fields;

  bool memory_grants = false;         // engines heed SetExecutionTerms::memory_grant_mb
  bool query_priorities = false;      // engines heed SetExecutionTerms::priority
  double max_memory_grant_ratio = 1;  // of an engine's memory, for one query
  MemoryShortage memory_shortage = MemoryShortage::wait;
  Duration progress_interval{};        // between two words of progress of an attempt; 0: none come
  bool reports_cost = false;           // responses report the work and memory that a query needed
  double over_quota_weight_ratio = 1;  // weight of a query beyond its tenant's quota, of its class's

  Duration answer_slack{};
  Duration drain_grace{};
  double slow_start_initial_ratio = 1;  // of its capacity, at which an engine starts
  Duration slow_start_window{};         // an engine is warm after this; 0: engines start warm
  // A warming engine is overloaded by work of this multiple of its present capacity within the window.
  double cold_overload_multiple = 0;  // 0: no such limit
  Duration cold_overload_window{};
  Duration engine_list_request_deadline{};  // the list is asked for within this
  Duration order_pause{};                   // of an order key, after an attempt that may still run
  // Retries within the window: the minimum and the ratio of the requests that arrived in it.
  bool retry_budget_enabled = false;
  double retry_budget_min_retries = 0;
  double retry_budget_ratio = 0;
  Duration retry_budget_window{};
};

}  // namespace yokestream::policy
