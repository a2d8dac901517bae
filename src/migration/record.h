// The stored state of all migrations: the roster of members that act on it, the homes of moved areas, and the
// progress of each plan.
//
// All plans share one record, so that one transaction updates them all and plans with a common area exclude
// each other. Pure values; any thread. Bounded by store::kMaxValueBytes as JSON.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "migration/plan.h"
#include "store/values.h"

namespace yokestream::migration {

// Steps of a move: 0 waiting, 1 to n the stages, n + 1 loads stopped, n + 2 done; see migration_task.h.
struct PlanProgress {
  Plan plan;
  std::vector<std::size_t> steps;  // by position in plan.moves
  bool rolling_back = false;
  bool halted = false;
  std::string cause;  // why it is halted or rolling back
  std::size_t loads_stopped_step() const { return plan.stages.size() + 1; }
  std::size_t done_step() const { return plan.stages.size() + 2; }
  bool operator==(const PlanProgress&) const = default;
};
// The origin that serves an area after its last migration.
struct Home {
  std::string name;
  routing::Origin origin;
  bool operator==(const Home&) const = default;
};
struct MigrationRecord {
  std::int64_t epoch = -1;
  store::Revision fencing_token = 0;          // of the leader that wrote the record (S1)
  std::map<std::string, std::string> roster;  // the members that may act on it: manager name by session
  std::map<TableGroupId, Home> homes;         // of areas that a finished plan has moved or rolled back
  std::vector<PlanProgress> plans;
  // Of finished and rejected plans, by name; kMaxOutcomes at most.
  std::map<std::string, std::string> outcomes;
  bool operator==(const MigrationRecord&) const = default;
};

inline constexpr std::size_t kMaxPlans = 8, kMaxOutcomes = 16;

// Prefixes of the names of staff requests (coordination/store_keys.h). The request's value is a plan's JSON
// after the first prefix, and `halt` or `resume` after the second.
inline constexpr const char* kPlanRequestPrefix = "plan/";
inline constexpr const char* kControlRequestPrefix = "wish/";

std::string encode(const MigrationRecord& record);
std::optional<MigrationRecord> decode_record(std::string_view text);  // nullopt: malformed

// The routing table of the member with this session. nullopt: the session is not in the roster.
std::optional<routing::RouteTable> routing_table_for(const MigrationRecord& record,
                                                     const std::string& session);
// Whether this member is in the first `share` (0 to 1) of the roster, in an order that depends on the plan's
// and the members' names. A larger share includes all members of a smaller one.
bool is_in_leading_share(const MigrationRecord& record, const std::string& session, const std::string& plan,
                         double share);

}  // namespace yokestream::migration
