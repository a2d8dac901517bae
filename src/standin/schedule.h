// What the virtual pools share: one thing that falls due, and an engine's answer to a query that ended.
#pragma once

#include <cstdint>
#include <functional>
#include <tuple>

#include "protocol/engine_messages.h"
#include "standin/engine_model.h"

namespace yokestream::standin {

struct Due {  // the earliest first, and in the order of their making
  Time time;
  std::uint64_t order;
  std::function<void()> what;
  bool operator>(const Due& other) const { return std::tie(time, order) > std::tie(other.time, other.order); }
};

inline EngineResponse served_answer(const EngineModel& model, const EngineModel::Ended& ended) {
  EngineResponse answer;
  answer.id = ended.id;
  answer.type = ResponseType::result;
  answer.page_count = 1;
  answer.body = "a\tb\tc\n";
  answer.work_ms = ended.work * 1000;
  answer.memory_mb = ended.memory;
  answer.load_report = {static_cast<double>(model.queued()), static_cast<double>(model.running()),
                        model.granted()};
  return answer;
}

}  // namespace yokestream::standin
