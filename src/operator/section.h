// One object of the operator file while it is read: every key checked for its type and bounds, noted with
// where its value came from, and none left unknown. Throws config::ConfigError with the key's path.
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "operator/operator_file.h"

namespace yokestream::operator_file {

// Reads an object key by key: each is asked for once, and what is left over at the end is unknown.
class Section {
 public:
  Section(const Json::Value& value, std::string path, std::vector<Value>& values)
      : value_(value), path_(std::move(path)), values_(values) {
    if (!value_.isNull() && !value_.isObject()) throw config::ConfigError(path_, "not an object");
  }
  std::string path(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }
  const Json::Value& at(const std::string& key) {
    asked_.push_back(key);
    return value_.isNull() ? Json::Value::nullSingleton() : value_[key];
  }
  bool flag(const std::string& key, bool when_absent) {
    const Json::Value& v = at(key);
    if (!v.isNull() && !v.isBool()) throw config::ConfigError(path(key), "neither true nor false");
    return note(key, v, v.isNull() ? when_absent : v.asBool());
  }
  double number(const std::string& key, double when_absent, double least, double most) {
    const Json::Value& v = at(key);
    if (!v.isNull() && (!v.isNumeric() || v.asDouble() < least || v.asDouble() > most))
      throw config::ConfigError(path(key), fmt::format("not a number from {} to {}", least, most));
    return note(key, v, v.isNull() ? when_absent : v.asDouble());
  }
  std::size_t count(const std::string& key, std::size_t when_absent, std::size_t least, std::size_t most) {
    const Json::Value& v = at(key);
    const double n = v.isNumeric() ? v.asDouble() : -1;
    if (!v.isNull() && (n < static_cast<double>(least) || n > static_cast<double>(most) ||
                        n != static_cast<double>(static_cast<std::size_t>(n))))
      throw config::ConfigError(path(key), fmt::format("not a whole number from {} to {}", least, most));
    return note(key, v, v.isNull() ? when_absent : static_cast<std::size_t>(n));
  }
  throttle::Duration time(const std::string& key, throttle::Duration when_absent, std::size_t least_ms,
                          std::size_t most_ms) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(when_absent).count();
    return std::chrono::milliseconds(count(key, static_cast<std::size_t>(ms), least_ms, most_ms));
  }
  std::string word(const std::string& key, const std::string& when_absent,
                   const std::vector<std::string>& allowed) {
    const Json::Value& v = at(key);
    const std::string text = v.isNull() ? when_absent : v.isString() ? v.asString() : "";
    if (std::find(allowed.begin(), allowed.end(), text) == allowed.end())
      throw config::ConfigError(path(key), fmt::format("not one of {}", fmt::join(allowed, ", ")));
    return note(key, v, text);
  }
  void done() const {
    if (value_.isNull()) return;
    for (const auto& key : value_.getMemberNames()) {
      if (std::find(asked_.begin(), asked_.end(), key) == asked_.end())
        throw config::ConfigError(path(key), "unknown key");
    }
  }
  template <class T>
  T note(const std::string& key, const Json::Value& told, T effective,
         const std::string& otherwise = "default") {
    values_.push_back({path(key), fmt::format("{}", effective), told.isNull() ? otherwise : "operator file"});
    return effective;
  }

 private:
  const Json::Value& value_;
  const std::string path_;
  std::vector<Value>& values_;
  std::vector<std::string> asked_;
};

// The platform's clients heed no longer advice than it says.
inline throttle::Duration heeded(throttle::Duration hint, const config::Config& platform) {
  const auto most = platform.settings.max_retry_after;
  return platform.settings.may_send_retry_after && most > throttle::Duration{} ? std::min(hint, most) : hint;
}

// The sections, each in a file of its own.
throttle::Settings read_door(const Json::Value& told, const config::Config& platform,
                             std::vector<Value>& values);
scheduler::Settings read_queues(const Json::Value& told, const config::Config& platform,
                                std::vector<Value>& values);
coordination::Settings read_fleet(const Json::Value& told, std::vector<Value>& values);

}  // namespace yokestream::operator_file
