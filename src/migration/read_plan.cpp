// Reads plans from JSON and writes them as JSON. Keys that differ from the field names: `edges` is
// edge_share, `traffic` traffic_share, `hold_ms` min_duration, `served` max_served_drop, `slower`
// max_slowdown, `outcomes` min_outcomes, `on_fail: back` OnFail::roll_back, and `groups` an origin's cells.
#include <algorithm>
#include <chrono>

#include "migration/plan.h"

namespace yokestream::migration {
namespace {

using Problems = std::vector<std::string>;

// Reads one object key by key, and reports the keys that were not read as unknown.
class Fields {
 public:
  Fields(const Json::Value& value, std::string path, Problems& problems)
      : value_(value), path_(std::move(path)), problems_(problems) {
    if (!value.isObject()) fail("", "not an object");
  }
  const Json::Value& at(const std::string& key) {
    known_keys_.push_back(key);
    return value_.isObject() ? value_[key] : Json::Value::nullSingleton();
  }
  std::string path(const std::string& key) const {
    return path_.empty() ? key : key.empty() ? path_ : path_ + "." + key;
  }
  void fail(const std::string& key, const std::string& why) { problems_.push_back(path(key) + ": " + why); }
  std::string name(const std::string& key) {
    const Json::Value& v = at(key);
    std::string text = v.isString() ? v.asString() : "";
    if (text.empty() || text.size() > kMaxNameLength ||
        text.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") !=
            std::string::npos)
      fail(key, "not a name of 1 to 32 letters, digits, '-' and '_'");
    return text;
  }
  double number(const std::string& key, double default_value, double min, double max) {
    const Json::Value& v = at(key);
    if (v.isNull()) return default_value;
    if (!v.isNumeric() || !(v.asDouble() >= min && v.asDouble() <= max)) {
      fail(key, "not a number in its bounds");
      return default_value;
    }
    return v.asDouble();
  }
  const Json::Value& list(const std::string& key, std::size_t max) {
    const Json::Value& v = at(key);
    if (v.isNull() || (v.isArray() && v.size() <= max)) return v;
    fail(key, "not a list of at most " + std::to_string(max));
    return Json::Value::nullSingleton();
  }
  void reject_unknown_keys() {
    if (!value_.isObject()) return;
    for (const auto& key : value_.getMemberNames())
      if (std::find(known_keys_.begin(), known_keys_.end(), key) == known_keys_.end())
        fail(key, "unknown key");
  }

 private:
  const Json::Value& value_;
  const std::string path_;
  Problems& problems_;
  std::vector<std::string> known_keys_;
};

std::optional<std::uint64_t> read_unsigned(const Json::Value& v, const std::string& path,
                                           Problems& problems) {
  if (v.isUInt64()) return v.asUInt64();
  problems.push_back(path + ": not a whole number");
  return std::nullopt;
}

std::vector<std::string> read_names(Fields& fields, const std::string& key, Problems& problems) {
  std::vector<std::string> out;
  const Json::Value& list = fields.list(key, 1024);
  for (Json::ArrayIndex i = 0; i < list.size(); ++i) {
    if (list[i].isString() && !list[i].asString().empty())
      out.push_back(list[i].asString());
    else
      problems.push_back(indexed_path(fields.path(key), i) + ": not a name");
  }
  return out;
}

Move read_move(const Json::Value& value, const std::string& path, Problems& problems) {
  Fields fields(value, path, problems);
  Move move;
  if (const auto area = read_unsigned(fields.at("area"), path + ".area", problems))
    move.area = TableGroupId{*area};
  move.from = fields.name("from");
  move.to = fields.name("to");
  const Json::Value& after = fields.list("after", kMaxPrerequisites);
  for (Json::ArrayIndex i = 0; i < after.size(); ++i)
    if (const auto area = read_unsigned(after[i], indexed_path(path + ".after", i), problems))
      move.after.push_back(TableGroupId{*area});
  fields.reject_unknown_keys();
  return move;
}

Stage read_stage(const Json::Value& value, const std::string& path, Problems& problems) {
  Fields fields(value, path, problems);
  Stage stage;
  stage.edge_share = fields.number("edges", 1, 1e-4, 1);
  stage.traffic_share = fields.number("traffic", 1, 1e-4, 1);
  stage.min_duration =
      std::chrono::milliseconds(static_cast<std::int64_t>(fields.number("hold_ms", 10'000, 0, 6e8)));
  fields.reject_unknown_keys();
  return stage;
}

Gate read_gate(const Json::Value& value, const std::string& path, Problems& problems) {
  Fields fields(value, path, problems);
  Gate gate;
  gate.max_served_drop = fields.number("served", gate.max_served_drop, 0, 1);
  gate.max_slowdown = fields.number("slower", gate.max_slowdown, 1, 1000);
  gate.min_outcomes = static_cast<std::int64_t>(fields.number("outcomes", 50, 1, 1e9));
  fields.reject_unknown_keys();
  return gate;
}

Json::Value to_json(const std::vector<std::string>& names) {
  Json::Value out(Json::arrayValue);
  for (const auto& word : names) out.append(word);
  return out;
}

}  // namespace

routing::Origin read_origin(const Json::Value& value, const std::string& path, Problems& problems) {
  Fields fields(value, path, problems);
  routing::Origin origin;
  origin.zones = read_names(fields, "zones", problems);
  origin.kinds = read_names(fields, "kinds", problems);
  origin.uids = read_names(fields, "uids", problems);
  const Json::Value& cells = fields.list("groups", 1024);
  for (Json::ArrayIndex i = 0; i < cells.size(); ++i)
    if (const auto cell = read_unsigned(cells[i], indexed_path(path + ".groups", i), problems))
      origin.cells.push_back(*cell);
  fields.reject_unknown_keys();
  return origin;
}

Json::Value to_json(const routing::Origin& origin) {
  Json::Value out(Json::objectValue);
  if (!origin.zones.empty()) out["zones"] = to_json(origin.zones);
  if (!origin.kinds.empty()) out["kinds"] = to_json(origin.kinds);
  if (!origin.uids.empty()) out["uids"] = to_json(origin.uids);
  for (const auto cell : origin.cells) out["groups"].append(Json::UInt64(cell));
  return out;
}

std::optional<Plan> read_plan(const Json::Value& value, Problems& problems) {
  const std::size_t before = problems.size();
  Fields fields(value, "", problems);
  Plan plan;
  plan.name = fields.name("name");
  const Json::Value& origins = fields.at("origins");
  if (!origins.isObject() || origins.size() > kMaxOrigins) {
    fields.fail("origins", "not an object of at most " + std::to_string(kMaxOrigins));
  } else {
    for (const auto& name : origins.getMemberNames())
      plan.origins[name] = read_origin(origins[name], "origins." + name, problems);
  }
  const Json::Value& moves = fields.list("moves", kMaxMoves);
  for (Json::ArrayIndex i = 0; i < moves.size(); ++i)
    plan.moves.push_back(read_move(moves[i], indexed_path("moves", i), problems));
  const Json::Value& stages = fields.list("stages", kMaxStages);
  for (Json::ArrayIndex i = 0; i < stages.size(); ++i)
    plan.stages.push_back(read_stage(stages[i], indexed_path("stages", i), problems));
  const Json::Value& gate = fields.at("gate");
  if (!gate.isNull()) plan.gate = read_gate(gate, "gate", problems);
  const Json::Value& on_fail = fields.at("on_fail");
  if (on_fail == "back")
    plan.on_fail = OnFail::roll_back;
  else if (!on_fail.isNull() && on_fail != "hold")
    fields.fail("on_fail", "neither hold nor back");
  fields.reject_unknown_keys();
  if (problems.size() == before) check_plan(plan, problems);
  return problems.size() == before ? std::optional(plan) : std::nullopt;
}

Json::Value to_json(const Plan& plan) {
  Json::Value out(Json::objectValue);
  out["name"] = plan.name;
  out["origins"] = Json::objectValue;
  for (const auto& [name, origin] : plan.origins) out["origins"][name] = to_json(origin);
  for (const Move& move : plan.moves) {
    Json::Value m;
    m["area"] = Json::UInt64(move.area);
    m["from"] = move.from;
    m["to"] = move.to;
    for (const auto area : move.after) m["after"].append(Json::UInt64(area));
    out["moves"].append(m);
  }
  for (const Stage& stage : plan.stages) {
    Json::Value s;
    s["edges"] = stage.edge_share;
    s["traffic"] = stage.traffic_share;
    s["hold_ms"] =
        Json::Int64(std::chrono::duration_cast<std::chrono::milliseconds>(stage.min_duration).count());
    out["stages"].append(s);
  }
  if (plan.gate) {
    out["gate"]["served"] = plan.gate->max_served_drop;
    out["gate"]["slower"] = plan.gate->max_slowdown;
    out["gate"]["outcomes"] = Json::Int64(plan.gate->min_outcomes);
  }
  out["on_fail"] = plan.on_fail == OnFail::roll_back ? "back" : "hold";
  return out;
}

}  // namespace yokestream::migration
