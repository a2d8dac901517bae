#include "cli/log.h"

#include <json/json.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <cctype>

namespace yokestream::cli {
namespace {

constexpr std::size_t kMostKindBytes = 48;

std::string quoted(std::string_view text) { return Json::valueToQuotedString(std::string(text).c_str()); }

}  // namespace

Log::Log(const operator_file::LogSettings& settings)
    : logger_(
          std::make_shared<spdlog::logger>("yokestream", std::make_shared<spdlog::sinks::stderr_sink_mt>())) {
  configure(settings);
}

void Log::configure(const operator_file::LogSettings& settings) {
  const std::lock_guard lock(mutex_);
  lines_per_kind_ = settings.lines_per_kind;
  logger_->set_level(spdlog::level::from_str(settings.level));
  logger_->flush_on(spdlog::level::debug);
  if (settings.format == "json")
    logger_->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","part":"%n","note":%v})",
                         spdlog::pattern_time_type::utc);
  else
    logger_->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %n: %v", spdlog::pattern_time_type::utc);
  json_ = settings.format == "json";
}

// Figures and names differ from line to line; the words before the first of them say what it is about.
std::string Log::kind_of(std::string_view line) {
  std::size_t end = 0;
  while (end < line.size() && end < kMostKindBytes && !std::isdigit(static_cast<unsigned char>(line[end])) &&
         line[end] != ':' && line[end] != '=')
    ++end;
  return std::string(line.substr(0, end));
}

void Log::write(std::string_view line) {
  const std::lock_guard lock(mutex_);
  const auto now = std::chrono::steady_clock::now();
  std::string name = kind_of(line);
  if (kinds_.size() >= kMostKinds && !kinds_.count(name)) name = "others";
  Kind& kind = kinds_[name];
  if (now - kind.since >= std::chrono::seconds(1)) {
    if (kind.left_out > 0) emit(name + "... and " + std::to_string(kind.left_out) + " more such lines");
    kind = Kind{now, 0, 0};
  }
  ++kind.lines <= lines_per_kind_ ? emit(line) : void(++kind.left_out);
}

void Log::emit(std::string_view line) { json_ ? logger_->info(quoted(line)) : logger_->info(line); }

}  // namespace yokestream::cli
