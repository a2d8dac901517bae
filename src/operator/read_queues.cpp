// The section `queues`: teams, groups of teams, and what all of them have in common.
#include "operator/section.h"

namespace yokestream::operator_file {
namespace {

using config::ConfigError;

// The owners that the file puts into a team; each into one at most.
std::vector<std::size_t> read_owners(const Json::Value& told, const std::string& path,
                                     const config::Config& platform, std::vector<std::size_t>& team_of,
                                     std::size_t team) {
  std::vector<std::size_t> owners;
  if (!told.isNull() && !told.isArray()) throw ConfigError(path, "not a list of owners");
  for (Json::ArrayIndex i = 0; i < told.size(); ++i) {
    const std::string here = fmt::format("{}[{}]", path, i);
    const auto& names = platform.real.tenants;
    const std::string name = told[i].isString() ? told[i].asString() : "";
    const auto it = std::find(names.begin(), names.end(), name);
    if (it == names.end()) throw ConfigError(here, "no owner of the platform file");
    const auto member = static_cast<std::size_t>(it - names.begin());
    if (team_of[member] != scheduler::kNoTeam) throw ConfigError(here, "an owner that is in two teams");
    team_of[member] = team;
    owners.push_back(member);
  }
  return owners;
}

double share_of(const std::vector<std::size_t>& owners, const config::Config& platform) {
  double share = 0;
  for (const std::size_t owner : owners)
    share += owner < platform.settings.tenants.size() ? platform.settings.tenants[owner].share : 0;
  return share;
}

scheduler::Team read_team(const std::string& name, const Json::Value& told, const std::string& path,
                          const config::Config& platform, std::vector<Value>& values,
                          std::vector<std::size_t>& team_of, std::size_t position) {
  Section section(told, path, values);
  scheduler::Team team;
  team.name = name;
  const auto owners = read_owners(section.at("owners"), section.path("owners"), platform, team_of, position);
  const Json::Value& group = section.at("group");
  if (!group.isNull() && !group.isString()) throw ConfigError(section.path("group"), "not a name");
  team.group = group.isString() ? group.asString() : "";
  const bool budget = !section.at("budget_s").isNull();
  if (budget) team.budget_s = section.number("budget_s", 0, 0, 1e9);
  team.share = section.number("share", share_of(owners, platform), 0, 1);
  team.burst_periods = section.number("burst", team.burst_periods, 0, 10);
  team.floor = section.number("floor", team.floor, 0, 1);
  team.ceiling = section.number("ceiling", team.ceiling, 0.001, 1);
  if (team.floor > team.ceiling) throw ConfigError(section.path("floor"), "above the ceiling");
  Section levels(section.at("levels"), section.path("levels"), values);
  for (const std::string& cls : platform.real.classes)
    team.level_by_class.push_back(
        static_cast<unsigned>(levels.count(cls, 1, 0, scheduler::kServiceLevels - 1)));
  levels.done();
  section.done();
  return team;
}

// Groups are teams that others name; they own nobody, and stand in no group themselves.
void check_groups(const scheduler::Settings& queues, std::vector<scheduler::Team>& teams) {
  for (const auto& team : teams) {
    if (team.group.empty()) continue;
    const std::string path = "queues.teams." + team.name + ".group";
    const auto group = std::find_if(teams.begin(), teams.end(),
                                    [&](const scheduler::Team& other) { return other.name == team.group; });
    if (group == teams.end()) throw ConfigError(path, "no team of this name");
    if (!group->group.empty()) throw ConfigError(path, "a team that is in a group itself");
    const auto position = static_cast<std::size_t>(group - teams.begin());
    if (std::find(queues.team_of.begin(), queues.team_of.end(), position) != queues.team_of.end())
      throw ConfigError(path, "a team that has owners of its own");
  }
  for (auto& group : teams) {  // what its teams have, where nothing else is told
    double shares = 0;
    for (const auto& team : teams) shares += team.group == group.name ? team.share : 0;
    if (group.budget_s < 0 && group.share == 0) group.share = shares;
  }
}

}  // namespace

scheduler::Settings read_queues(const Json::Value& told, const config::Config& platform,
                                std::vector<Value>& values) {
  constexpr std::size_t kMostTeams = 64;
  Section section(told, "queues", values);
  scheduler::Settings queues;
  queues.enabled = section.flag("on", queues.enabled);
  queues.budget_period = section.time("span_ms", queues.budget_period, 1000, 86'400'000);
  queues.ageing_step = section.time("age_ms", queues.ageing_step, 10, 600'000);
  queues.overdue_share = section.number("rescue", queues.overdue_share, 0, 0.5);
  queues.max_queued = section.count("waiting", queues.max_queued, 1, 262'144);
  queues.slack_factor = section.number("patience", queues.slack_factor, 0, 100);
  queues.max_wait = section.time("most_wait_ms", queues.max_wait, 0, 600'000);
  queues.max_retry_after = section.time("most_hint_ms", queues.max_retry_after, 50, 3'600'000);
  queues.threads_per_core = section.number("threads_per_core", queues.threads_per_core, 0.5, 16);
  queues.throttle_headroom = section.number("room", queues.throttle_headroom, 1, 64);
  queues.demotion_factor = section.number("sink", queues.demotion_factor, 1.5, 100);
  queues.quote_method = section.flag("quote_method", queues.quote_method);
  queues.max_priority_changes_per_s =
      section.number("nice_per_s", queues.max_priority_changes_per_s, 0, 1000);
  const Json::Value& teams = section.at("teams");
  if (!teams.isNull() && !teams.isObject()) throw ConfigError("queues.teams", "not an object");
  queues.team_of.assign(platform.real.tenants.size(), scheduler::kNoTeam);
  scheduler::Team rest;
  rest.name = "rest";
  queues.teams.push_back(rest);
  for (const std::string& name : teams.isNull() ? std::vector<std::string>{} : teams.getMemberNames()) {
    if (queues.teams.size() > kMostTeams) throw ConfigError("queues.teams", "more than 64 teams");
    const std::string path = "queues.teams." + name;
    const std::size_t position = name == "rest" ? 0 : queues.teams.size();
    scheduler::Team team = read_team(name, teams[name], path, platform, values, queues.team_of, position);
    if (name == "rest")
      queues.teams[0] = team;
    else
      queues.teams.push_back(std::move(team));
  }
  if (teams.isNull()) {  // each owner is a team
    for (std::size_t i = 0; i < platform.real.tenants.size(); ++i) {
      scheduler::Team team;
      team.name = platform.real.tenants[i];
      team.share = share_of({i}, platform);
      queues.team_of[i] = queues.teams.size();
      queues.teams.push_back(std::move(team));
    }
  }
  std::vector<std::size_t> left;
  for (std::size_t i = 0; i < queues.team_of.size(); ++i) {
    if (queues.team_of[i] != scheduler::kNoTeam) continue;
    queues.team_of[i] = 0;
    left.push_back(i);
  }
  if (queues.teams[0].budget_s < 0 && queues.teams[0].share == 0)
    queues.teams[0].share = share_of(left, platform);
  check_groups(queues, queues.teams);
  queues.max_retry_after = heeded(queues.max_retry_after, platform);
  section.done();
  return queues;
}

}  // namespace yokestream::operator_file
