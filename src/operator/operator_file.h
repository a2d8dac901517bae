// Our own operator file: a Jsonnet template that says which parts beyond the platform's own settings are on,
// and how. The one place where it is read, checked and given defaults.
//
// A key that is unknown, of the wrong type or out of range is refused with its path; nothing is taken from a
// file that has any fault. Loads nothing but the file itself and what it imports beside it. Any thread may
// call.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"

namespace yokestream::operator_file {

struct LogSettings {
  std::string level = "info";   // debug, info, warn, error
  std::string format = "text";  // text, json
  int lines_per_kind = 5;       // a second; 1 to 1,000. What is over is counted
};

struct Value {                     // one effective value, as `print-config` shows it
  std::string path, text, origin;  // origin: default, operator file, platform file
};

struct Operator {
  LogSettings log;
  throttle::Settings door;
  scheduler::Settings queues;
  coordination::Settings fleet;
  std::vector<Value> values;
};

// `platform` tells the members, whose shares are the door's weights where the file names none.
// Both throw config::ConfigError.
Operator decode(const std::string& json, const config::Config& platform);
std::string evaluate(const std::string& path);  // a Jsonnet file, as JSON; throws config::ConfigError
Operator read(const std::string& path, const config::Config& platform);
Operator defaults(const config::Config& platform);  // where there is no file

// The platform file and the operator file together; an empty path: no operator file.
struct Effective {
  config::Config config;
  Operator operators;
};
Effective read_both(const std::string& platform_path, const std::string& operator_path);

}  // namespace yokestream::operator_file
