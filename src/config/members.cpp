#include "config/members.h"

#include <arpa/inet.h>

#include <charconv>
#include <memory>

#include "config/settings.h"

namespace yokestream::config {
namespace {

const Json::Value& member_of(const Json::Value& object, const std::string& key, const std::string& path) {
  if (!object.isObject()) throw ConfigError(path, "not an object");
  return object[key];
}

std::string text_of(const Json::Value& object, const std::string& key, const std::string& path) {
  const Json::Value& value = member_of(object, key, path);
  if (value.isNull()) return {};
  if (!value.isString()) throw ConfigError(path + "." + key, "not a text");
  return value.asString();
}

double number_of(const Json::Value& object, const std::string& key, const std::string& path, double absent) {
  const Json::Value& value = member_of(object, key, path);
  if (value.isNull()) return absent;
  if (!value.isNumeric()) throw ConfigError(path + "." + key, "not a number");
  return value.asDouble();
}

std::uint64_t natural_of(const Json::Value& object, const std::string& key, const std::string& path) {
  const Json::Value& value = member_of(object, key, path);
  if (value.isNull()) return 0;
  if (!value.isUInt64()) throw ConfigError(path + "." + key, "not a whole number");
  return value.asUInt64();
}

policy::EngineState state_of(const std::string& word, const std::string& path) {
  if (word == "up") return policy::EngineState::up;
  if (word == "draining") return policy::EngineState::draining;
  if (word == "removed") return policy::EngineState::removed;
  throw ConfigError(path + ".state", "unknown value '" + word + "'");
}

Member decode_member(const Json::Value& target, const std::string& path) {
  Member m;
  m.uid = text_of(target, "uid", path);
  if (m.uid.empty()) throw ConfigError(path + ".uid", "missing");
  m.state = state_of(text_of(target, "state", path), path);
  if (const auto endpoint = text_of(target, "endpoint", path); !endpoint.empty())
    m.endpoint = parse_endpoint(path + ".endpoint", endpoint);
  m.zone = text_of(target, "az", path);
  m.kind = text_of(target, "model", path);
  m.cell = natural_of(target, "pod_group", path);
  m.weight = number_of(target, "capacity_hint", path, 1);
  m.boot_ms = static_cast<std::int64_t>(number_of(target, "boot_ms", path, 0));
  return m;
}

}  // namespace

std::string to_string(const Endpoint& endpoint) {
  return endpoint.host + ":" + std::to_string(endpoint.port);
}

Endpoint parse_endpoint(std::string_view key, const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) throw ConfigError(key, "not an address and a port: '" + text + "'");
  Endpoint endpoint{text.substr(0, colon), 0};
  const std::string port = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
  if (error != std::errc() || end != port.data() + port.size())
    throw ConfigError(key, "not a port: '" + port + "'");
  in_addr address{};
  if (inet_pton(AF_INET, endpoint.host.c_str(), &address) != 1)
    throw ConfigError(key, "not an IPv4 address: '" + endpoint.host + "'");
  return endpoint;
}

Json::Value parse_json(std::string_view key, const std::string& text) {
  Json::CharReaderBuilder builder;
  builder["stackLimit"] = 64;  // nothing we read nests deeper; the parser recurses on a small stack
  Json::Value value;
  std::string problems;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  try {
    if (reader->parse(text.data(), text.data() + text.size(), &value, &problems)) return value;
  } catch (const Json::Exception& problem) {
    problems = problem.what();
  }
  throw ConfigError(key, "not JSON: " + problems);
}

MembersEvent decode_members(const Json::Value& value) {
  MembersEvent event;
  event.number = natural_of(value, "n", "event");
  const Json::Value& members = value["members"];
  if (members.isNull()) return event;  // an event of another kind
  const Json::Value& all = member_of(members, "all", "members");
  if (!all.isNull() && !all.isBool()) throw ConfigError("members.all", "neither true nor false");
  event.whole = all.isBool() && all.asBool();
  const Json::Value& targets = members["targets"];
  if (!targets.isNull() && !targets.isArray()) throw ConfigError("members.targets", "not a list");
  for (Json::ArrayIndex i = 0; i < targets.size(); ++i)
    event.members.push_back(decode_member(targets[i], "members.targets[" + std::to_string(i) + "]"));
  return event;
}

MembersEvent decode_members(const std::string& text) { return decode_members(parse_json("event", text)); }

}  // namespace yokestream::config
