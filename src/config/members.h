// The control feed's events: what has changed in the list of engines.
#pragma once

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "yokestream/policy/admission_controller.h"

namespace yokestream::config {

struct Endpoint {
  std::string host;  // an IPv4 address
  std::uint16_t port = 0;
  auto operator<=>(const Endpoint&) const = default;
};
std::string to_string(const Endpoint& endpoint);
Endpoint parse_endpoint(std::string_view key, const std::string& text);  // throws ConfigError naming the key

struct Member {
  std::string uid;
  std::optional<Endpoint> endpoint;  // none: not told, as for one that is gone
  std::string zone, kind;
  std::uint64_t cell = 0;
  policy::EngineState state = policy::EngineState::up;
  double weight = 1;
  std::int64_t boot_ms = 0;  // Unix time of its last start; 0: long ago
};
struct MembersEvent {
  std::uint64_t number = 0;
  bool whole = false;  // the whole list, not changes
  std::vector<Member> members;
};

MembersEvent decode_members(const Json::Value& event);  // throws ConfigError
MembersEvent decode_members(const std::string& text);   // throws ConfigError

Json::Value parse_json(std::string_view key, const std::string& text);  // throws ConfigError

}  // namespace yokestream::config
