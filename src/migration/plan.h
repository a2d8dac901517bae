// A plan: which areas move from one origin to another, in which order and by which stages.
//
// Read from the JSON that the plan's Jsonnet file becomes, and checked as a whole: every problem is named
// with its path. Pure values; any thread. Bounded: kMostMoves, kMostStages, kMostOrigins a plan.
#pragma once

#include <json/json.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/routes.h"

namespace yokestream::migration {

using policy::Duration;
using policy::TableGroupId;
using policy::Time;
using Origins = std::map<std::string, routing::Origin>;

inline constexpr std::size_t kMaxMoves = 256, kMaxStages = 16, kMaxOrigins = 16, kMaxPrerequisites = 64;
inline constexpr std::size_t kMaxNameLength = 32;  // of a plan or an origin, characters

struct Move {
  TableGroupId area{};
  std::string from, to;             // origins
  std::vector<TableGroupId> after;  // of this plan: wholly there before this one begins
  bool operator==(const Move&) const = default;
};
struct Stage {
  double edge_share = 1,
         traffic_share = 1;  // shares, above 0 and at most 1: of the edges, and of what these move
  Duration min_duration{};   // it lasts at least so long
  bool operator==(const Stage&) const = default;
};
// What a stage must show, the new side beside the one left behind over the same span.
struct Gate {
  double max_served_drop = 0.02;   // the share served may be lower by so much
  double max_slowdown = 1.5;       // time taken over time predicted may be so many times the old side's
  std::int64_t min_outcomes = 50;  // on each side at least
  bool operator==(const Gate&) const = default;
};
enum class OnFail { hold, roll_back };
struct Plan {
  std::string name;
  Origins origins;
  std::vector<Move> moves;
  std::vector<Stage> stages;  // the last one is all of the edges and all of the traffic
  std::optional<Gate> gate;   // none: stages end by their time alone
  OnFail on_fail = OnFail::hold;
  bool operator==(const Plan&) const = default;
};

// nullopt, and one line a problem, each with its path.
std::optional<Plan> read_plan(const Json::Value& told, std::vector<std::string>& problems);
Json::Value to_json(const Plan& plan);
routing::Origin read_origin(const Json::Value& told, const std::string& path,
                            std::vector<std::string>& problems);
Json::Value to_json(const routing::Origin& origin);

inline std::string item(const std::string& path, std::size_t i) {
  return path + "[" + std::to_string(i) + "]";
}
// What its parts say of each other; read_plan() has done this.
void check_plan(const Plan& plan, std::vector<std::string>& problems);
// What only an installation knows: areas that may move there, and its engines.
void check_against(const Plan& plan, const std::vector<TableGroupId>& movable,
                   const std::vector<config::Member>& engines, std::vector<std::string>& problems);

}  // namespace yokestream::migration
