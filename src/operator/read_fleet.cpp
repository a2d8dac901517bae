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
  fleet.on = section.flag("on", fleet.on);
  fleet.store = read_addresses(section.at("store"), section.path("store"));
  fleet.areas = read_areas(section.at("areas"), section.path("areas"));
  const Json::Value& prefix = section.at("prefix");
  if (!prefix.isNull()) fleet.prefix = prefix.isString() ? prefix.asString() : "";
  if (fleet.prefix.empty() || fleet.prefix.size() > 128 || fleet.prefix.back() == '/')
    throw config::ConfigError(section.path("prefix"), "not 1 to 128 characters without a slash at the end");
  section.note("prefix", prefix, fleet.prefix);
  fleet.lease = section.time("lease_ms", fleet.lease, 2000, 600'000);
  fleet.drift = section.number("drift", fleet.drift, 0, 0.2);
  fleet.progress = section.time("progress_ms", fleet.progress, 1000, 3'600'000);
  fleet.look = section.time("look_ms", fleet.look, 200, 600'000);
  fleet.spread = section.time("spread_ms", fleet.spread, 100, 3'600'000);
  fleet.ask = section.time("ask_ms", fleet.ask, 50, 60'000);
  section.done();
  if (fleet.on && fleet.store.empty()) throw config::ConfigError(section.path("store"), "no address");
  if (fleet.ask >= fleet.lease / 3)
    throw config::ConfigError(section.path("ask_ms"), "a third of lease_ms or more");
  if (fleet.progress <= fleet.look)
    throw config::ConfigError(section.path("progress_ms"), "not above look_ms");
  return fleet;
}

}  // namespace yokestream::operator_file
