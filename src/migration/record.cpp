// Encodes and decodes the migration record, and derives routing tables from it.
//
// Stored keys that differ from the field names: `term` is fencing_token, `ended` outcomes, `back`
// rolling_back, and `why` cause.
#include "migration/record.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "base/json.h"

namespace yokestream::migration {
namespace {

constexpr int kFormVersion = 1;

bool all_strings(const Json::Value& v) {
  return v.isNull() ||
         (v.isObject() && std::all_of(v.begin(), v.end(), [](auto& x) { return x.isString(); }));
}
std::map<std::string, std::string> strings(const Json::Value& v) {
  std::map<std::string, std::string> out;
  for (const auto& name : v.getMemberNames()) out[name] = v[name].asString();
  return out;
}
Json::Value to_json(const std::map<std::string, std::string>& names) {
  Json::Value out(Json::objectValue);
  for (const auto& [name, text] : names) out[name] = text;
  return out;
}

std::optional<PlanProgress> read_progress(const Json::Value& v) {
  std::vector<std::string> problems;
  if (!v.isObject()) return std::nullopt;
  const auto plan = read_plan(v["plan"], problems);
  if (!plan || !v["steps"].isArray() || v["steps"].size() != plan->moves.size() || !v["back"].isBool() ||
      !v["halted"].isBool() || !v["why"].isString())
    return std::nullopt;
  PlanProgress out{*plan, {}, v["back"].asBool(), v["halted"].asBool(), v["why"].asString()};
  for (const auto& step : v["steps"]) {
    if (!step.isUInt() || step.asUInt() > out.done_step()) return std::nullopt;
    out.steps.push_back(step.asUInt());
  }
  return out;
}

std::optional<TableGroupId> parse_area(const std::string& text) {
  if (text.empty() || text.size() > 19 || text.find_first_not_of("0123456789") != std::string::npos)
    return std::nullopt;
  return TableGroupId{std::stoull(text)};
}

// Position of a roster member in the plan's order of members. The order is by a hash of the plan's and the
// member's names: a restarted manager keeps its position, and each plan has a different order.
std::size_t rank_of(const MigrationRecord& record, const std::string& session, const std::string& plan) {
  const auto rank = [&](const std::string& name) {
    const std::string text = plan + "/" + name;
    return std::pair(XXH3_64bits(text.data(), text.size()), name);
  };
  const auto own = rank(record.roster.at(session));
  return static_cast<std::size_t>(std::count_if(record.roster.begin(), record.roster.end(),
                                                [&](const auto& other) { return rank(other.second) < own; }));
}
bool rank_in_leading_share(std::size_t rank, const MigrationRecord& record, double share) {
  return static_cast<double>(rank) < std::ceil(share * static_cast<double>(record.roster.size()) - 1e-9);
}

}  // namespace

std::string encode(const MigrationRecord& record) {
  Json::Value out;
  out["form"] = kFormVersion;
  out["epoch"] = Json::Int64(record.epoch);
  out["term"] = Json::Int64(record.fencing_token);
  out["roster"] = to_json(record.roster);
  out["homes"] = Json::objectValue;
  for (const auto& [area, home] : record.homes) {
    auto& value = out["homes"][std::to_string(static_cast<std::uint64_t>(area))];
    value["name"] = home.name;
    value["origin"] = migration::to_json(home.origin);
  }
  out["plans"] = Json::arrayValue;
  for (const PlanProgress& progress : record.plans) {
    Json::Value value;
    value["plan"] = migration::to_json(progress.plan);
    for (const auto step : progress.steps) value["steps"].append(Json::UInt(step));
    value["back"] = progress.rolling_back;
    value["halted"] = progress.halted;
    value["why"] = progress.cause;
    out["plans"].append(value);
  }
  out["ended"] = to_json(record.outcomes);
  return base::write_json(out);
}

std::optional<MigrationRecord> decode_record(std::string_view text) {
  const auto v = base::read_json(text, store::kMaxValueBytes);
  if (!v || !v->isObject() || (*v)["form"] != kFormVersion || !(*v)["epoch"].isInt64() ||
      !(*v)["term"].isInt64() || !all_strings((*v)["roster"]) || !all_strings((*v)["ended"]) ||
      !(*v)["homes"].isObject() || !(*v)["plans"].isArray() || (*v)["plans"].size() > kMaxPlans)
    return std::nullopt;
  MigrationRecord out;
  out.epoch = (*v)["epoch"].asInt64();
  out.fencing_token = (*v)["term"].asInt64();
  out.roster = strings((*v)["roster"]);
  out.outcomes = strings((*v)["ended"]);
  std::vector<std::string> problems;
  for (const auto& name : (*v)["homes"].getMemberNames()) {
    const auto& home = (*v)["homes"][name];
    const auto area = parse_area(name);
    if (!area || !home.isObject() || !home["name"].isString()) return std::nullopt;
    out.homes[*area] = {home["name"].asString(), read_origin(home["origin"], "", problems)};
  }
  for (const auto& value : (*v)["plans"]) {
    auto progress = read_progress(value);
    if (!progress) return std::nullopt;
    out.plans.push_back(std::move(*progress));
  }
  return problems.empty() && out.epoch >= 0 ? std::optional(std::move(out)) : std::nullopt;
}

bool is_in_leading_share(const MigrationRecord& record, const std::string& session, const std::string& plan,
                         double share) {
  return record.roster.count(session) && rank_in_leading_share(rank_of(record, session, plan), record, share);
}

std::optional<routing::RouteTable> routing_table_for(const MigrationRecord& record,
                                                     const std::string& session) {
  if (!record.roster.count(session)) return std::nullopt;
  routing::RouteTable out;
  out.epoch = record.epoch;
  for (const auto& [area, home] : record.homes) {
    out.rules[area] = {out.origins.size(), out.origins.size(), 0, routing::Rule::Loads::from};
    out.origins.push_back(home.origin);
  }
  for (const PlanProgress& progress : record.plans) {
    const std::size_t rank = rank_of(record, session, progress.plan.name);
    std::vector<std::uint32_t> moved;  // buckets that this member moves, by stage
    for (const Stage& stage : progress.plan.stages)
      moved.push_back(
          rank_in_leading_share(rank, record, stage.edge_share)
              ? static_cast<std::uint32_t>(std::lround(stage.traffic_share * routing::Rule::kTrafficBuckets))
              : 0);
    std::map<std::string, std::size_t> at;
    for (const auto& [name, origin] : progress.plan.origins) {
      at[name] = out.origins.size();
      out.origins.push_back(origin);
    }
    for (std::size_t i = 0; i < progress.steps.size(); ++i) {
      const Move& move = progress.plan.moves[i];
      const std::size_t step = progress.steps[i];
      routing::Rule rule{at[move.from], at[move.to], 0, routing::Rule::Loads::from};
      if (step > progress.plan.stages.size()) {
        rule.moved_buckets = routing::Rule::kTrafficBuckets;
        rule.loads = step == progress.done_step() ? routing::Rule::Loads::to : routing::Rule::Loads::nowhere;
      } else if (step > 0) {
        rule.moved_buckets = moved[step - 1];
      }
      out.rules[move.area] = rule;
    }
  }
  return out;
}

}  // namespace yokestream::migration
