#include "module_settings.h"

namespace yokestream::golden {
namespace {

using namespace yokestream::policy;
using std::chrono::milliseconds;

std::uint64_t below(std::mt19937_64& random, std::uint64_t n) { return random() % n; }
bool chance(std::mt19937_64& random, std::uint64_t one_in) { return below(random, one_in) == 0; }

ClassSettings random_class(std::mt19937_64& random, std::size_t i) {
  ClassSettings c;
  c.name = "c" + std::to_string(i);
  c.latency_objective = milliseconds(300 + below(random, 1500));
  c.latency_objective_stretch = 2;
  c.deadline = milliseconds(2500 + below(random, 4000));
  c.priority_weight = 1 + static_cast<double>(below(random, 8));
  c.idempotency = static_cast<Idempotency>(i % 3);
  c.deduplication_scope = static_cast<DeduplicationScope>(below(random, 3));
  c.deduplication_window = milliseconds(500 + below(random, 3000));
  c.ordered = i == 3;
  c.threads = 1 + static_cast<double>(below(random, 3));
  c.locks_table_group = i == 2;
  c.waits_for_table_group = chance(random, 2);
  if (chance(random, 4)) c.allowed_zones = {ZoneId{0}};
  return c;
}
}  // namespace

Settings random_settings(std::mt19937_64& random) {
  Settings s;
  for (std::size_t i = 0; i < 4; ++i) s.classes.push_back(random_class(random, i));
  s.kinds = {{4, 8000}, {8, 0}};
  s.tenants = {{0.7, 20}, {0.3, 4}};
  s.zones = 2;
  s.manager_count = chance(random, 3) ? 1 : 6;
  s.may_cancel = !chance(random, 4);
  s.may_probe = chance(random, 2);
  s.may_message = chance(random, 2);
  s.may_send_retry_after = true;
  s.max_retry_after = milliseconds(2000);
  s.max_attempts = 4;
  s.engine_list_source = chance(random, 2) ? EngineListSource::pushed : EngineListSource::on_request;
  s.load_report_source = LoadReportSource::responses;
  s.load_report_fields = {LoadReportField::inflight, LoadReportField::queue, LoadReportField::cpu,
                          LoadReportField::memory};
  s.memory_grants = chance(random, 2);
  s.query_priorities = chance(random, 2);
  s.max_memory_grant_ratio = 0.5;
  s.progress_interval = chance(random, 2) ? Duration(milliseconds(400)) : Duration{};
  s.reports_cost = chance(random, 2);
  s.over_quota_weight_ratio = 0.2;
  s.answer_slack = milliseconds(20);
  s.drain_grace = milliseconds(250);
  s.slow_start_initial_ratio = 0.3;
  s.slow_start_window = std::chrono::seconds(6);
  s.cold_overload_multiple = 2.5;
  s.cold_overload_window = std::chrono::seconds(2);
  s.engine_list_request_deadline = std::chrono::seconds(2);
  s.order_pause = milliseconds(300);
  s.retry_budget_enabled = chance(random, 2);
  s.retry_budget_min_retries = 4;
  s.retry_budget_ratio = 0.2;
  s.retry_budget_window = std::chrono::seconds(4);
  return s;
}

}  // namespace yokestream::golden
