// A migration plan: which areas (table groups) move from one origin to another, in which order and in which
// stages.
//
// Read from the JSON that the plan's Jsonnet file evaluates to. All problems are reported at once, each with
// its path. Pure values; any thread. Bounded by kMaxMoves, kMaxStages and kMaxOrigins.
#pragma once

#include <json/json.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/router.h"

namespace yokestream::migration {

using policy::Duration;
using policy::TableGroupId;
using policy::Time;
using Origins = std::map<std::string, routing::Origin>;

inline constexpr std::size_t kMaxMoves = 256, kMaxStages = 16, kMaxOrigins = 16, kMaxPrerequisites = 64;
inline constexpr std::size_t kMaxNameLength = 32;  // of a plan's or an origin's name, in characters

struct Move {
  TableGroupId area{};
  std::string from, to;  // origins
  // Prerequisites: areas of this plan that move completely before this one starts.
  std::vector<TableGroupId> after;
  bool operator==(const Move&) const = default;
};
struct Stage {
  double edge_share = 1;     // share of the edges that move traffic, above 0 and at most 1
  double traffic_share = 1;  // share of their traffic that these edges move, above 0 and at most 1
  Duration min_duration{};
  bool operator==(const Stage&) const = default;
};
// Limits for the target's outcomes at each stage, compared with the source's over the same span.
struct Gate {
  double max_served_drop = 0.02;   // difference of the served ratios, source minus target
  double max_slowdown = 1.5;       // ratio of the slowdowns (elapsed over estimated time), target over source
  std::int64_t min_outcomes = 50;  // minimum on each side for a verdict
  bool operator==(const Gate&) const = default;
};
enum class OnFail { hold, roll_back };
struct Plan {
  std::string name;
  Origins origins;
  std::vector<Move> moves;
  std::vector<Stage> stages;  // the last one covers all edges and all traffic
  std::optional<Gate> gate;   // nullopt: stages end by their duration alone
  OnFail on_fail = OnFail::hold;
  bool operator==(const Plan&) const = default;
};

// nullopt: invalid; `problems` then has one entry per problem, with its path.
std::optional<Plan> read_plan(const Json::Value& value, std::vector<std::string>& problems);
Json::Value to_json(const Plan& plan);
routing::Origin read_origin(const Json::Value& value, const std::string& path,
                            std::vector<std::string>& problems);
Json::Value to_json(const routing::Origin& origin);

inline std::string indexed_path(const std::string& path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}
// Validates the parts against each other; called by read_plan().
void check_plan(const Plan& plan, std::vector<std::string>& problems);
// Validates the plan against one installation: its movable areas and its engines.
void check_against_installation(const Plan& plan, const std::vector<TableGroupId>& movable,
                                const std::vector<config::Member>& engines,
                                std::vector<std::string>& problems);

}  // namespace yokestream::migration
