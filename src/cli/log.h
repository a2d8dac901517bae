// The log: lines of `key=value` words on standard error, as text or JSON, on spdlog.
//
// A line's kind is its first words up to the first figure or name in it; of one kind at most some lines a
// second are written and the rest is counted, so that peers who make trouble all the time cost little. Any
// thread may call; memory: a bounded number of kinds.
#pragma once

#include <spdlog/logger.h>

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

#include "dispatch/ports.h"
#include "operator/operator_file.h"

namespace yokestream::cli {

class Log : public dispatch::Log {
 public:
  explicit Log(const operator_file::LogSettings& settings);
  void write(std::string_view line) override;
  void configure(const operator_file::LogSettings& settings);

  static std::string kind_of(std::string_view line);

 private:
  struct Kind {
    std::chrono::steady_clock::time_point since{};
    int lines = 0, left_out = 0;
  };
  static constexpr std::size_t kMostKinds = 64;

  void emit(std::string_view line);  // under the lock

  std::mutex mutex_;
  std::shared_ptr<spdlog::logger> logger_;
  int lines_per_kind_ = 5;
  bool json_ = false;
  std::map<std::string, Kind, std::less<>> kinds_;
};

}  // namespace yokestream::cli
