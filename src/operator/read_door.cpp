// The section `door`.
#include "operator/section.h"

namespace yokestream::operator_file {
namespace {

using config::ConfigError;

// Weights by member name: those of the file, else the platform's shares.
std::vector<double> read_weights(const Json::Value& told, const std::string& path,
                                 const config::Config& platform, std::vector<Value>& values) {
  constexpr double kLeast = 1e-3, kMost = 1e6;
  Section names(told, path, values);
  std::vector<double> weights;
  for (std::size_t i = 0; i < platform.real.tenants.size(); ++i) {
    const std::string& name = platform.real.tenants[i];
    const double share = i < platform.settings.tenants.size() ? platform.settings.tenants[i].share : 0;
    const Json::Value& v = names.at(name);
    if (!v.isNull() && (!v.isNumeric() || v.asDouble() < kLeast || v.asDouble() > kMost))
      throw ConfigError(names.path(name), fmt::format("not a number from {} to {}", kLeast, kMost));
    const std::string otherwise = share > 0 ? "platform file" : "default";
    weights.push_back(names.note(name, v, !v.isNull() ? v.asDouble() : share > 0 ? share : 1, otherwise));
  }
  names.done();
  return weights;
}

}  // namespace

throttle::Settings read_door(const Json::Value& told, const config::Config& platform,
                             std::vector<Value>& values) {
  Section section(told, "door", values);
  throttle::Settings door;
  door.on = section.flag("on", door.on);
  door.waiting = section.count("waiting", door.waiting, 1, 65'536);
  door.places = section.count("places", door.places, 1, 65'536);
  door.patience = section.number("patience", door.patience, 0, 1);
  door.most_wait = section.time("most_wait_ms", door.most_wait, 0, 60'000);
  door.most_hint = section.time("most_hint_ms", door.most_hint, 50, 3'600'000);
  door.keep = section.time("keep_ms", door.keep, 20, 60'000);
  door.by_connection = section.word("client_by", "address", {"address", "connection"}) == "connection";
  door.reserve = section.number("reserve", door.reserve, 0, 0.5);
  door.threads_per_core = section.number("threads_per_core", door.threads_per_core, 0.5, 16);
  door.weights = read_weights(section.at("weights"), "door.weights", platform, values);
  door.seed = platform.seed;
  door.most_hint = heeded(door.most_hint, platform);
  section.done();
  return door;
}

}  // namespace yokestream::operator_file
