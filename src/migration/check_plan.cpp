// Validates a plan: its parts against each other, and against the areas and engines of one installation.
#include <algorithm>

#include "migration/plan.h"

namespace yokestream::migration {

using Problems = std::vector<std::string>;

namespace {

using AreaPositions = std::map<TableGroupId, std::size_t>;  // index of the area's move, by area

AreaPositions check_moves(const Plan& plan, Problems& problems) {
  AreaPositions positions;
  for (std::size_t i = 0; i < plan.moves.size(); ++i) {
    const Move& move = plan.moves[i];
    const std::string path = indexed_path("moves", i);
    if (!plan.origins.count(move.from)) problems.push_back(path + ".from: no such origin");
    if (!plan.origins.count(move.to)) problems.push_back(path + ".to: no such origin");
    if (move.from == move.to) problems.push_back(path + ".to: same as from");
    if (!positions.emplace(move.area, i).second) problems.push_back(path + ".area: duplicate area");
  }
  return positions;
}

void check_prerequisites(const Plan& plan, const AreaPositions& positions, Problems& problems) {
  for (std::size_t i = 0; i < plan.moves.size(); ++i) {
    const auto& after = plan.moves[i].after;
    for (std::size_t j = 0; j < after.size(); ++j)
      if (!positions.count(after[j]))
        problems.push_back(indexed_path(indexed_path("moves", i) + ".after", j) +
                           ": not an area of this plan");
  }
}

// Topological sort: an area is placed once all its prerequisites are. Areas that are never placed are on a
// cycle or depend on one.
void check_cycles(const Plan& plan, const AreaPositions& positions, Problems& problems) {
  std::map<TableGroupId, bool> placed;
  bool progress = true;
  while (progress) {
    progress = false;
    for (const Move& move : plan.moves) {
      const bool ready = std::all_of(move.after.begin(), move.after.end(), [&](TableGroupId area) {
        return !positions.count(area) || placed.count(area);
      });
      if (ready && placed.emplace(move.area, true).second) progress = true;
    }
  }
  for (std::size_t i = 0; i < plan.moves.size(); ++i)
    if (!placed.count(plan.moves[i].area))
      problems.push_back(indexed_path("moves", i) + ".after: circular prerequisites");
}

bool grows(const Stage& before, const Stage& stage) {
  const bool keeps = stage.edge_share >= before.edge_share && stage.traffic_share >= before.traffic_share;
  const bool larger = stage.edge_share > before.edge_share || stage.traffic_share > before.traffic_share;
  return keeps && larger;
}

void check_stages(const Plan& plan, Problems& problems) {
  for (std::size_t i = 0; i < plan.stages.size(); ++i) {
    const Stage& stage = plan.stages[i];
    const std::string path = indexed_path("stages", i);
    const bool is_last = i + 1 == plan.stages.size();
    if (is_last && (stage.edge_share < 1 || stage.traffic_share < 1))
      problems.push_back(path + ": the last stage does not cover all edges and all traffic");
    if (i > 0 && !grows(plan.stages[i - 1], stage))
      problems.push_back(path + ": not larger than the stage before");
  }
}

}  // namespace

// Each origin exists, each area moves once, each stage is larger than the one before, and the prerequisites
// have no cycle.
void check_plan(const Plan& plan, Problems& problems) {
  if (plan.moves.empty()) problems.push_back("moves: none");
  if (plan.stages.empty()) problems.push_back("stages: none");
  const AreaPositions positions = check_moves(plan, problems);
  check_prerequisites(plan, positions, problems);
  check_cycles(plan, positions, problems);
  check_stages(plan, problems);
}

void check_against_installation(const Plan& plan, const std::vector<TableGroupId>& movable,
                                const std::vector<config::Member>& engines, Problems& problems) {
  for (std::size_t i = 0; i < plan.moves.size(); ++i)
    if (std::find(movable.begin(), movable.end(), plan.moves[i].area) == movable.end())
      problems.push_back(indexed_path("moves", i) + ".area: not among fleet.areas of the operator file");
  for (const auto& named : plan.origins)
    if (std::none_of(engines.begin(), engines.end(), [&](const auto& e) { return named.second.contains(e); }))
      problems.push_back("origins." + named.first + ": no engine matches it");
}

}  // namespace yokestream::migration
