// The section `fleet`: what the processes of a fleet share through a store.
#include "operator/section.h"

namespace yokestream::operator_file {
namespace {

constexpr std::size_t kMostAddresses = 16;
constexpr std::size_t kMostAreas = 1024;

std::vector<config::Endpoint> read_addresses(const Json::Value& told, const std::string& path) {
  if (!told.isNull() && !told.isArray()) throw config::ConfigError(path, "not a list of addresses");
  if (told.size() > kMostAddresses) throw config::ConfigError(path, "more than 16 addresses");
  std::vector<config::Endpoint> out;
  for (Json::ArrayIndex i = 0; i < told.size(); ++i) {
    const std::string here = fmt::format("{}[{}]", path, i);
    out.push_back(config::parse_endpoint(here, told[i].isString() ? told[i].asString() : ""));
  }
  return out;
}

std::vector<policy::TableGroupId> read_areas(const Json::Value& told, const std::string& path) {
  if (!told.isNull() && !told.isArray()) throw config::ConfigError(path, "not a list of areas");
  if (told.size() > kMostAreas) throw config::ConfigError(path, "more than 1024 areas");
  std::vector<policy::TableGroupId> out;
  for (Json::ArrayIndex i = 0; i < told.size(); ++i) {
    if (!told[i].isUInt64()) throw config::ConfigError(fmt::format("{}[{}]", path, i), "not a whole number");
    out.push_back(policy::TableGroupId{told[i].asUInt64()});
  }
  return out;
}

}  // namespace

coordination::Settings read_fleet(const Json::Value& told, std::vector<Value>& values) {
  Section section(told, "fleet", values);
  coordination::Settings fleet;
  fleet.enabled = section.flag("on", fleet.enabled);
  fleet.store_endpoints = read_addresses(section.at("store"), section.path("store"));
  fleet.movable_areas = read_areas(section.at("areas"), section.path("areas"));
  const Json::Value& prefix = section.at("prefix");
  if (!prefix.isNull()) fleet.key_prefix = prefix.isString() ? prefix.asString() : "";
  if (fleet.key_prefix.empty() || fleet.key_prefix.size() > 128 || fleet.key_prefix.back() == '/')
    throw config::ConfigError(section.path("prefix"), "not 1 to 128 characters without a slash at the end");
  section.note("prefix", prefix, fleet.key_prefix);
  fleet.lease_duration = section.time("lease_ms", fleet.lease_duration, 2000, 600'000);
  fleet.clock_drift = section.number("drift", fleet.clock_drift, 0, 0.2);
  fleet.progress_timeout = section.time("progress_ms", fleet.progress_timeout, 1000, 3'600'000);
  fleet.inspection_interval = section.time("look_ms", fleet.inspection_interval, 200, 600'000);
  fleet.reconnect_spread = section.time("spread_ms", fleet.reconnect_spread, 100, 3'600'000);
  fleet.call_timeout = section.time("ask_ms", fleet.call_timeout, 50, 60'000);
  section.done();
  if (fleet.enabled && fleet.store_endpoints.empty())
    throw config::ConfigError(section.path("store"), "no address");
  if (fleet.call_timeout >= fleet.lease_duration / 3)
    throw config::ConfigError(section.path("ask_ms"), "a third of lease_ms or more");
  if (fleet.progress_timeout <= fleet.inspection_interval)
    throw config::ConfigError(section.path("progress_ms"), "not above look_ms");
  return fleet;
}

}  // namespace yokestream::operator_file
