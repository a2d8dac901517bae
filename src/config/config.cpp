#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace yokestream::config {
namespace {

std::string scalar(const std::string& path, const Json::Value& value) {
  if (value.isBool()) return value.asBool() ? "true" : "false";
  if (value.isString()) return value.asString();
  if (value.isInt64()) return std::to_string(value.asInt64());
  if (value.isUInt64()) return std::to_string(value.asUInt64());
  if (value.isDouble()) {
    char text[32];
    const auto end = std::to_chars(text, text + sizeof text, value.asDouble()).ptr;
    return std::string(text, end);
  }
  throw ConfigError(path, "neither a text nor a number");
}

void lay_out(const std::string& path, const Json::Value& value, Options& out) {
  const auto below = [&](const std::string& key) { return path.empty() ? key : path + "." + key; };
  if (value.isNull()) return;
  if (value.isObject()) {
    for (const auto& key : value.getMemberNames()) lay_out(below(key), value[key], out);
  } else if (value.isArray() && !value.empty() && value[0].isObject()) {
    out[below("count")] = std::to_string(value.size());
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) lay_out(below(std::to_string(i)), value[i], out);
  } else if (value.isArray()) {
    std::string list;
    for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
      std::string item = scalar(path, value[i]);
      std::replace(item.begin(), item.end(), ',', '_');  // as the wire does
      list.append(i > 0 ? "," : "").append(item);
    }
    out[path] = list;
  } else {
    out[path] = scalar(path, value);
  }
}

std::string required_text(const Json::Value& root, const std::string& key) {
  const Json::Value& value = root[key];
  if (!value.isString() || value.asString().empty()) throw ConfigError(key, "missing");
  return value.asString();
}

std::size_t limit(const Json::Value& limits, const std::string& key, std::size_t when_absent,
                  std::size_t least) {
  const Json::Value& value = limits[key];
  if (value.isNull()) return when_absent;
  if (!value.isNumeric() || value.asDouble() < static_cast<double>(least))
    throw ConfigError("limits." + key, "not a number of " + std::to_string(least) + " or more");
  return static_cast<std::size_t>(value.asDouble());
}

std::uint64_t seed_of(const Json::Value& root) {
  const Json::Value& value = root["seed"];
  if (value.isNull()) return 0;
  if (value.isUInt64()) return value.asUInt64();
  std::uint64_t seed = 0;
  const std::string text = value.isString() ? value.asString() : "";
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed", "not a number of up to 16 hex digits");
  return seed;
}

void read_known(const Json::Value& known, Config& config) {
  if (known.isNull()) return;
  if (!known.isObject()) throw ConfigError("known", "not an object");
  if (!known["n"].isNull() && !known["n"].isUInt64()) throw ConfigError("known.n", "not a whole number");
  config.known_number = known["n"].asUInt64();
  const Json::Value& events = known["events"];
  if (!events.isNull() && !events.isArray()) throw ConfigError("known.events", "not a list");
  for (Json::ArrayIndex i = 0; i < events.size(); ++i) {
    try {
      config.known.push_back(decode_members(events[i]));
    } catch (const ConfigError& problem) {
      throw ConfigError("known.events[" + std::to_string(i) + "]." + problem.key(), problem.problem());
    }
  }
}

}  // namespace

Options lay_out(const Json::Value& settings) {
  Options out;
  lay_out("", settings, out);
  return out;
}

Config decode_config(const std::string& text) {
  const Json::Value root = parse_json("configuration", text);
  if (!root.isObject()) throw ConfigError("configuration", "not an object");
  Config config;
  config.name = root["name"].isString() ? root["name"].asString() : "yokestream";
  config.listen = parse_endpoint("listen", required_text(root, "listen"));
  if (!root["management"].isNull())
    config.management = parse_endpoint("management", required_text(root, "management"));
  config.seed = seed_of(root);
  const Json::Value& limits = root["limits"];
  if (!limits.isNull() && !limits.isObject()) throw ConfigError("limits", "not an object");
  config.limits.memory_mb = limit(limits, "memory_mb", config.limits.memory_mb, 32);
  config.limits.sockets = limit(limits, "sockets", config.limits.sockets, 32);
  if (!root["feed"].isNull()) config.feed = parse_endpoint("feed", required_text(root, "feed"));
  read_known(root["known"], config);
  if (!root["settings"].isObject()) throw ConfigError("settings", "missing");
  try {
    const Options options = lay_out(root["settings"]);
    config.settings = decode_settings(options);
    config.real = decode_real_settings(options);
  } catch (const ConfigError& problem) {
    throw ConfigError("settings." + problem.key(), problem.problem());
  }
  try {  // the module names what makes no sense to it
    policy::AdmissionController(config.settings, config.seed, policy::Time{});
  } catch (const std::invalid_argument& problem) {
    throw ConfigError("settings", problem.what());
  }
  return config;
}

Config read_config(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw ConfigError(path, "cannot be opened");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) throw ConfigError(path, "cannot be read");
  return decode_config(text.str());
}

}  // namespace yokestream::config
