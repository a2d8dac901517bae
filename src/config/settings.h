// The one decoder of the settings: from pairs of a path and a text, as the simulator's wire holds them.
// Nested JSON is laid out as such pairs first (config.h).
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::config {

// A setting that makes no sense. what() names its key.
class ConfigError : public std::runtime_error {
 public:
  ConfigError(std::string_view key, std::string_view problem);
  const std::string& key() const { return key_; }
  const std::string& problem() const { return problem_; }

 private:
  std::string key_, problem_;
};

using Options = std::map<std::string, std::string, std::less<>>;

policy::Settings decode_settings(const Options& options);  // throws ConfigError

// What only a real workload manager needs of the same settings; the simulator adapter does without.
struct RealSettings {
  std::vector<std::string> classes, tenants, kinds, zones, report_fields;  // names by position
  policy::Duration dial_time{};                // a connection not up by then counts as unreachable
  policy::Duration idle_close{};               // engines close what has been idle for this long; 0: never
  std::vector<policy::Duration> deadlines;     // by class: a client's whole wait
  policy::Duration longest_deadline() const {  // 0: there is no class
    return deadlines.empty() ? policy::Duration{} : *std::max_element(deadlines.begin(), deadlines.end());
  }
  std::size_t streams_per_connection = 1;
  std::size_t open_cap = 0;   // requests that may be open at once; 0: no cap
  bool quote_method = false;  // of the operator file: clients may ask `quote`, and answers carry quotes
};
RealSettings decode_real_settings(const Options& options);  // throws ConfigError

}  // namespace yokestream::config
