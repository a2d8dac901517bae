// Admits a proposed plan to the migration record, or rejects it with the reason. A plan is rejected if it is
// invalid, if one of its areas belongs to another active plan, or if an area is not at the plan's source
// origin.
#include <algorithm>

#include "base/json.h"
#include "migration/migration_task.h"

namespace yokestream::migration {

std::string admit_plan(MigrationRecord& record, const std::string& name, const std::string& text) {
  const auto value = base::read_json(text, store::kMaxValueBytes);
  if (!value) return "it can't be read";
  std::vector<std::string> problems;
  const auto plan = read_plan(*value, problems);
  if (!plan) return problems.front();
  if (plan->name != name) return "it is of another name";
  if (record.plans.size() >= kMaxPlans) return std::to_string(kMaxPlans) + " plans are under way";
  for (const PlanProgress& other : record.plans) {
    if (other.plan.name == name) return "a plan of this name is under way";
    for (const Move& theirs : other.plan.moves)
      for (const Move& ours : plan->moves)
        if (theirs.area == ours.area)
          return "area " + std::to_string(static_cast<std::uint64_t>(ours.area)) + " is in plan " +
                 other.plan.name;
  }
  for (const Move& move : plan->moves) {
    const auto home = record.homes.find(move.area);
    if (home != record.homes.end() && !(home->second.origin == plan->origins.at(move.from)))
      return "area " + std::to_string(static_cast<std::uint64_t>(move.area)) + " is at home at " +
             home->second.name;
  }
  record.outcomes.erase(name);
  record.plans.push_back({*plan, std::vector<std::size_t>(plan->moves.size(), 0), false, false, ""});
  return "";
}

}  // namespace yokestream::migration
