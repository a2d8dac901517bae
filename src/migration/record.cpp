#include "migration/record.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace yokestream::migration {
namespace {

constexpr int kForm = 1;

bool all_strings(const Json::Value& v) {
  return v.isNull() ||
         (v.isObject() && std::all_of(v.begin(), v.end(), [](auto& x) { return x.isString(); }));
}
std::map<std::string, std::string> strings(const Json::Value& v) {
  std::map<std::string, std::string> out;
  for (const auto& name : v.getMemberNames()) out[name] = v[name].asString();
  return out;
}
Json::Value to_json(const std::map<std::string, std::string>& all) {
  Json::Value out(Json::objectValue);
  for (const auto& [name, text] : all) out[name] = text;
  return out;
}

std::optional<Running> read_running(const Json::Value& v) {
  std::vector<std::string> problems;
  if (!v.isObject()) return std::nullopt;
  const auto plan = read_plan(v["plan"], problems);
  if (!plan || !v["steps"].isArray() || v["steps"].size() != plan->moves.size() || !v["back"].isBool() ||
      !v["halted"].isBool() || !v["why"].isString())
    return std::nullopt;
  Running out{*plan, {}, v["back"].asBool(), v["halted"].asBool(), v["why"].asString()};
  for (const auto& step : v["steps"]) {
    if (!step.isUInt() || step.asUInt() > out.done()) return std::nullopt;
    out.steps.push_back(step.asUInt());
  }
  return out;
}

std::optional<TableGroupId> area_of(const std::string& text) {
  if (text.empty() || text.size() > 19 || text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return TableGroupId{std::stoull(text)};
}

// How many edges are ahead of this one, which is in the roster. By name, so that a manager that is started
// again stays where it was; the order differs from plan to plan.
std::size_t place_of(const Record& record, const std::string& session, const std::string& plan) {
  const auto rank = [&](const std::string& name) {
    const std::string text = plan + "/" + name;
    return std::pair(XXH3_64bits(text.data(), text.size()), name);
  };
  const auto own = rank(record.roster.at(session));
  return static_cast<std::size_t>(std::count_if(record.roster.begin(), record.roster.end(),
                                                [&](const auto& other) { return rank(other.second) < own; }));
}
bool first(std::size_t place, const Record& record, double share) {
  return static_cast<double>(place) < std::ceil(share * static_cast<double>(record.roster.size()) - 1e-9);
}

}  // namespace

std::string encode(const Record& record) {
  Json::Value out;
  out["form"] = kForm;
  out["epoch"] = Json::Int64(record.epoch);
  out["term"] = Json::Int64(record.term);
  out["roster"] = to_json(record.roster);
  out["homes"] = Json::objectValue;
  for (const auto& [area, home] : record.homes) {
    auto& told = out["homes"][std::to_string(static_cast<std::uint64_t>(area))];
    told["name"] = home.name, told["origin"] = migration::to_json(home.origin);
  }
  out["plans"] = Json::arrayValue;
  for (const Running& running : record.plans) {
    Json::Value told;
    told["plan"] = migration::to_json(running.plan);
    for (const auto step : running.steps) told["steps"].append(Json::UInt(step));
    told["back"] = running.back, told["halted"] = running.halted, told["why"] = running.why;
    out["plans"].append(told);
  }
  out["ended"] = to_json(record.ended);
  return base::write_json(out);
}

std::optional<Record> decode_record(std::string_view text) {
  const auto v = base::read_json(text, store::kMostValue);
  if (!v || !v->isObject() || (*v)["form"] != kForm || !(*v)["epoch"].isInt64() || !(*v)["term"].isInt64() ||
      !all_strings((*v)["roster"]) || !all_strings((*v)["ended"]) || !(*v)["homes"].isObject() ||
      !(*v)["plans"].isArray() || (*v)["plans"].size() > kMostPlans)
    return std::nullopt;
  Record out;
  out.epoch = (*v)["epoch"].asInt64();
  out.term = (*v)["term"].asInt64();
  out.roster = strings((*v)["roster"]);
  out.ended = strings((*v)["ended"]);
  std::vector<std::string> problems;
  for (const auto& name : (*v)["homes"].getMemberNames()) {
    const auto& home = (*v)["homes"][name];
    const auto area = area_of(name);
    if (!area || !home.isObject() || !home["name"].isString()) return std::nullopt;
    out.homes[*area] = {home["name"].asString(), read_origin(home["origin"], "", problems)};
  }
  for (const auto& told : (*v)["plans"]) {
    auto running = read_running(told);
    if (!running) return std::nullopt;
    out.plans.push_back(std::move(*running));
  }
  return problems.empty() && out.epoch >= 0 ? std::optional(std::move(out)) : std::nullopt;
}

bool among_first(const Record& record, const std::string& session, const std::string& plan, double share) {
  return record.roster.count(session) && first(place_of(record, session, plan), record, share);
}

std::optional<routing::Table> table_of(const Record& record, const std::string& session) {
  if (!record.roster.count(session)) return std::nullopt;
  routing::Table out;
  out.epoch = record.epoch;
  for (const auto& [area, home] : record.homes) {
    out.rules[area] = {out.origins.size(), out.origins.size(), 0, routing::Rule::Loads::from};
    out.origins.push_back(home.origin);
  }
  for (const Running& running : record.plans) {
    const std::size_t place = place_of(record, session, running.plan.name);
    std::vector<std::uint32_t> moved;  // by stage
    for (const Stage& stage : running.plan.stages)
      moved.push_back(first(place, record, stage.edges)
                          ? static_cast<std::uint32_t>(std::lround(stage.traffic * routing::Rule::kAll))
                          : 0);
    std::map<std::string, std::size_t> at;
    for (const auto& [name, origin] : running.plan.origins)
      at[name] = out.origins.size(), out.origins.push_back(origin);
    for (std::size_t i = 0; i < running.steps.size(); ++i) {
      const Move& move = running.plan.moves[i];
      const std::size_t step = running.steps[i];
      routing::Rule rule{at[move.from], at[move.to], 0, routing::Rule::Loads::from};
      if (step > running.plan.stages.size()) {
        rule.moved = routing::Rule::kAll;
        rule.loads = step == running.done() ? routing::Rule::Loads::to : routing::Rule::Loads::nowhere;
      } else if (step > 0) {
        rule.moved = moved[step - 1];
      }
      out.rules[move.area] = rule;
    }
  }
  return out;
}

}  // namespace yokestream::migration
