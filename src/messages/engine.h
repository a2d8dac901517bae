// What is said between a workload manager and an engine, as small typed values. Protocols encode and decode
// them; the core acts on them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lynxstand/admission.h"

namespace yokestream {

struct EngineRequest {
  std::string id;  // the client's, passed on
  std::string profile;
  lynxstand::Time deadline{};  // until when its answer is waited for
  std::uint32_t band = 1;
  std::string statement;
  // S4: no byte of it leaves from this moment on. What it was granted by holds no longer then.
  lynxstand::Time granted_until = lynxstand::Time::max();
};

enum class AnswerWord { served, overload, crashed, nobody, update, rows, green };
enum class Remark { none, progress, spill_mb, blocked };

struct EngineAnswer {
  std::string id;
  AnswerWord word = AnswerWord::crashed;
  std::uint32_t pages = 0;  // served: all pages of the result, this one counted in; 0: not told
  std::uint32_t page = 0;   // rows: which page
  Remark remark = Remark::none;
  double datum = 0;
  std::optional<double> elapsed_ms;  // the work it took
  double rss_mb = 0;
  std::vector<double> report;  // in the order of the field names told; -1 for one that is missing
  std::string body;
};

}  // namespace yokestream
