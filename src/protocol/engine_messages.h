// What is said between a workload manager and an engine, as small typed values. Protocols encode and decode
// them; the core acts on them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream {

struct EngineRequest {
  std::string id;  // the client's, passed on
  std::string query_class;
  policy::Time deadline{};  // until when its answer is waited for
  std::uint32_t priority = 1;
  std::string statement;
  // No byte of it is written from this time on: what permitted the request does not hold any longer.
  policy::Time write_deadline = policy::Time::max();
};

enum class ResponseType { result, overloaded, failed, unknown_query, progress, page, pong };
enum class ProgressType { none, progress, spilling, blocked };

struct EngineResponse {
  std::string id;
  ResponseType type = ResponseType::failed;
  std::uint32_t page_count = 0;  // served: all pages of the result, this one counted in; 0: not told
  std::uint32_t page_index = 0;  // rows: which page
  ProgressType progress = ProgressType::none;
  double progress_value = 0;
  std::optional<double> work_ms;  // the work it took
  double memory_mb = 0;
  std::vector<double> load_report;  // in the order of the field names told; -1 for one that is missing
  std::string body;
};

}  // namespace yokestream
