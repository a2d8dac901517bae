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
  door.max_queued = section.count("waiting", door.max_queued, 1, 65'536);
  door.max_reservations = section.count("places", door.max_reservations, 1, 65'536);
  door.max_wait_fraction = section.number("patience", door.max_wait_fraction, 0, 1);
  door.max_wait = section.time("most_wait_ms", door.max_wait, 0, 60'000);
  door.max_retry_after = section.time("most_hint_ms", door.max_retry_after, 50, 3'600'000);
  door.reservation_grace = section.time("keep_ms", door.reservation_grace, 20, 60'000);
  door.client_per_connection =
      section.word("client_by", "address", {"address", "connection"}) == "connection";
  door.reserved_fraction = section.number("reserve", door.reserved_fraction, 0, 0.5);
  door.initial_threads_per_core = section.number("threads_per_core", door.initial_threads_per_core, 0.5, 16);
  door.weights = read_weights(section.at("weights"), "door.weights", platform, values);
  door.seed = platform.seed;
  door.max_retry_after = heeded(door.max_retry_after, platform);
  section.done();
  return door;
}

}  // namespace yokestream::operator_file
