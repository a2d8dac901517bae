// The stored state of all migrations: the members that act on it, the homes of moved areas, and the progress
// of each plan.
//
// One record for all plans, so that plans with a common area exclude each other and one transaction updates
// all. Pure values; any thread. Bounded by store::kMaxValueBytes as JSON.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "migration/plan.h"
#include "store/values.h"

namespace yokestream::migration {

// Steps of a move: 0 waiting, 1 ... n its stages, n + 1 loads stopped, n + 2 done (migration_task.h).
struct PlanProgress {
  Plan plan;
  std::vector<std::size_t> steps;  // by move
  bool rolling_back = false;
  bool halted = false;
  std::string cause;  // why it is halted or rolling back
  std::size_t loads_stopped_step() const { return plan.stages.size() + 1; }
  std::size_t done_step() const { return plan.stages.size() + 2; }
  bool operator==(const PlanProgress&) const = default;
};
struct Home {
  std::string name;
  routing::Origin origin;
  bool operator==(const Home&) const = default;
};
struct MigrationRecord {
  std::int64_t epoch = -1;
  store::Revision fencing_token = 0;          // of the leader that wrote it (S1)
  std::map<std::string, std::string> roster;  // the members that may act on it: manager name by session
  std::map<TableGroupId, Home> homes;         // of areas that have moved
  std::vector<PlanProgress> plans;
  std::map<std::string, std::string> outcomes;  // of finished plans, by name; kMaxOutcomes at most
  bool operator==(const MigrationRecord&) const = default;
};

inline constexpr std::size_t kMaxPlans = 8, kMaxOutcomes = 16;

// Prefixes of staff requests (coordination/store_keys.h): a plan's text, or `halt` or `resume` for a plan.
inline constexpr const char* kPlanRequestPrefix = "plan/";
inline constexpr const char* kControlRequestPrefix = "wish/";

std::string encode(const MigrationRecord& record);
std::optional<MigrationRecord> decode_record(std::string_view text);  // nullopt: malformed

// The routing table of the member with this session; nullopt: it is not in the roster.
std::optional<routing::RouteTable> routing_table_for(const MigrationRecord& record,
                                                     const std::string& session);
// Whether this member is in the first `share` (a ratio) of the roster, in an order by plan and name.
bool is_in_leading_share(const MigrationRecord& record, const std::string& session, const std::string& plan,
                         double share);

}  // namespace yokestream::migration
