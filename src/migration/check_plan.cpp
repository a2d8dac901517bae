// Checks a plan: its parts against each other, and against one installation.
#include <algorithm>

#include "migration/plan.h"

namespace yokestream::migration {

using Problems = std::vector<std::string>;

// Origins exist, each area moves once, stages grow, prerequisites have no cycle.
void check_plan(const Plan& plan, Problems& problems) {
  if (plan.moves.empty()) problems.push_back("moves: none");
  if (plan.stages.empty()) problems.push_back("stages: none");
  std::map<TableGroupId, std::size_t> at;
  for (std::size_t i = 0; i < plan.moves.size(); ++i) {
    const Move& move = plan.moves[i];
    const std::string path = item("moves", i);
    for (const auto& [key, origin] : {std::pair("from", &move.from), std::pair("to", &move.to)})
      if (!plan.origins.count(*origin)) problems.push_back(path + "." + key + ": no such origin");
    if (move.from == move.to) problems.push_back(path + ".to: where it comes from");
    if (!at.emplace(move.area, i).second) problems.push_back(path + ".area: it moves twice");
  }
  for (std::size_t i = 0; i < plan.moves.size(); ++i)
    for (std::size_t j = 0; j < plan.moves[i].after.size(); ++j)
      if (!at.count(plan.moves[i].after[j]))
        problems.push_back(item(item("moves", i) + ".after", j) + ": an area that this plan does not move");
  // Topological order: an area is placed once all its prerequisites are; what remains is on a cycle.
  std::map<TableGroupId, bool> placed;
  for (bool moved = true; moved;) {
    moved = false;
    for (const Move& move : plan.moves) {
      const bool ready = std::all_of(move.after.begin(), move.after.end(),
                                     [&](TableGroupId a) { return !at.count(a) || placed.count(a); });
      if (ready && placed.emplace(move.area, true).second) moved = true;
    }
  }
  for (std::size_t i = 0; i < plan.moves.size(); ++i)
    if (!placed.count(plan.moves[i].area))
      problems.push_back(item("moves", i) + ".after: it waits for itself");
  for (std::size_t i = 0; i < plan.stages.size(); ++i) {
    const Stage& stage = plan.stages[i];
    const std::string path = item("stages", i);
    if (i + 1 == plan.stages.size() && (stage.edge_share < 1 || stage.traffic_share < 1))
      problems.push_back(path + ": the last stage is not all of the edges and all of the traffic");
    if (i == 0) continue;
    const Stage& before = plan.stages[i - 1];
    const bool grows = stage.edge_share >= before.edge_share && stage.traffic_share >= before.traffic_share &&
                       (stage.edge_share > before.edge_share || stage.traffic_share > before.traffic_share);
    if (!grows) problems.push_back(path + ": it does not grow");
  }
}

void check_against(const Plan& plan, const std::vector<TableGroupId>& movable,
                   const std::vector<config::Member>& engines, Problems& problems) {
  for (std::size_t i = 0; i < plan.moves.size(); ++i)
    if (std::find(movable.begin(), movable.end(), plan.moves[i].area) == movable.end())
      problems.push_back(item("moves", i) + ".area: not among fleet.areas of the operator file");
  for (const auto& named : plan.origins)
    if (std::none_of(engines.begin(), engines.end(), [&](const auto& e) { return named.second.contains(e); }))
      problems.push_back("origins." + named.first + ": no engine matches it");
}

}  // namespace yokestream::migration
