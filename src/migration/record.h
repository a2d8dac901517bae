// What stands in the store of all migrations: who acts on it, where areas are at home, and how far plans have
// come.
//
// One record for all, so that plans which touch one area exclude each other, and one transaction moves them.
// Pure values; any thread. Bounded by store::kMostValue as JSON.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "migration/plan.h"
#include "store/values.h"

namespace yokestream::migration {

// A move's step: 0 waiting, 1 ... n its stages, then its loads stopped, then done.
struct PlanProgress {
  Plan plan;
  std::vector<std::size_t> steps;  // by move
  bool rolling_back = false;       // the way back
  bool halted = false;
  std::string cause;  // halted, or on its way back
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
  store::Revision fencing_token = 0;          // of the owner that wrote it (S1)
  std::map<std::string, std::string> roster;  // who may act on it: the manager's name, by session
  std::map<TableGroupId, Home> homes;         // of areas that have moved
  std::vector<PlanProgress> plans;
  std::map<std::string, std::string> outcomes;  // what became of plans that are over, kMostEnded at most
  bool operator==(const MigrationRecord&) const = default;
};

inline constexpr std::size_t kMaxPlans = 8, kMaxOutcomes = 16;

// What staff ask the owner for, as its key's end (duty/names.h): a plan's text, or `halt` or `resume` for
// one.
inline constexpr const char* kPlanRequestPrefix = "plan/";
inline constexpr const char* kControlRequestPrefix = "wish/";

std::string encode(const MigrationRecord& record);
std::optional<MigrationRecord> decode_record(std::string_view text);  // nullopt: it makes no sense

// What an edge acts on: nullopt, it is not in the roster. `session`: its own.
std::optional<routing::RouteTable> table_of(const MigrationRecord& record, const std::string& session);
// Whether this edge is among those that a stage moves: in an order of the plan's own, by name.
bool among_first(const MigrationRecord& record, const std::string& session, const std::string& plan,
                 double share);

}  // namespace yokestream::migration
