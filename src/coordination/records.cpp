// Facts and tables as the JSON that stands in the store.
#include <cmath>
#include <cstdio>

#include "base/json.h"
#include "coordination/shares.h"

namespace yokestream::coordination {
namespace {

constexpr std::size_t kMostName = 256;
constexpr std::size_t kMostTallies = 16, kMostTallied = 16;

// nullopt: no JSON object of our form.
std::optional<Json::Value> parse(std::string_view text, std::size_t most) {
  auto value = base::read_json(text, most);
  if (!value || !value->isObject() || (*value)["form"] != 1) return std::nullopt;
  return value;
}

bool is_name(const Json::Value& v) { return v.isString() && v.asString().size() <= kMostName; }

// An object of whole numbers, none below zero.
std::optional<std::map<std::string, std::int64_t>> numbers(const Json::Value& v, std::size_t most) {
  if (!v.isObject() || v.size() > most) return std::nullopt;
  std::map<std::string, std::int64_t> out;
  for (const auto& name : v.getMemberNames()) {
    if (!v[name].isInt64() || v[name].asInt64() < 0) return std::nullopt;
    out[name] = v[name].asInt64();
  }
  return out;
}
std::optional<std::map<std::string, std::vector<std::int64_t>>> tallies_of(const Json::Value& v) {
  std::map<std::string, std::vector<std::int64_t>> out;
  if (v.isNull()) return out;
  if (!v.isObject() || v.size() > kMostTallies) return std::nullopt;
  for (const auto& name : v.getMemberNames()) {
    if (!v[name].isArray() || v[name].size() > kMostTallied) return std::nullopt;
    for (const auto& n : v[name]) {
      if (!n.isInt64() || n.asInt64() < 0) return std::nullopt;
      out[name].push_back(n.asInt64());
    }
  }
  return out;
}
Json::Value to_json(const std::map<std::string, std::int64_t>& numbers) {
  Json::Value out(Json::objectValue);
  for (const auto& [name, n] : numbers) out[name] = Json::Int64(n);
  return out;
}

}  // namespace

std::string session_name(store::LeaseId lease) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(lease));
  return text;
}

std::string encode(const MemberRecord& fact) {
  Json::Value out;
  out["form"] = 1;
  out["name"] = fact.name.substr(0, kMostName);
  out["version"] = fact.version.substr(0, kMostName);
  out["traffic"] = fact.requests_per_s;
  out["seen"] = to_json(fact.acknowledged_epochs);
  for (const auto& [plan, tally] : fact.tallies)
    for (const auto n : tally) out["tallies"][plan].append(Json::Int64(n));
  return base::write_json(out);
}

std::optional<MemberRecord> decode_member_record(std::string_view text) {
  constexpr std::size_t kMostDuties = 16;
  const auto v = parse(text, kMaxMemberRecordBytes);
  if (!v || !is_name((*v)["name"]) || !is_name((*v)["version"]) || !(*v)["traffic"].isNumeric())
    return std::nullopt;
  const auto seen = numbers((*v)["seen"], kMostDuties);
  const double traffic = (*v)["traffic"].asDouble();
  if (!seen || !std::isfinite(traffic) || traffic < 0) return std::nullopt;
  const auto tallies = tallies_of((*v)["tallies"]);
  if (!tallies) return std::nullopt;
  return MemberRecord{(*v)["name"].asString(), (*v)["version"].asString(), traffic, *seen, *tallies};
}

std::string encode(const LoadShareTable& table) {
  Json::Value out;
  out["form"] = 1;
  out["epoch"] = Json::Int64(table.epoch);
  out["term"] = Json::Int64(table.fencing_token);
  out["parts"] = to_json(table.shares);
  return base::write_json(out);
}

std::optional<LoadShareTable> decode_load_share_table(std::string_view text) {
  const auto v = parse(text, store::kMaxValueBytes);
  if (!v || !(*v)["epoch"].isInt64() || !(*v)["term"].isInt64()) return std::nullopt;
  auto parts = numbers((*v)["parts"], kMaxMembers);
  if (!parts || (*v)["epoch"].asInt64() < 0) return std::nullopt;
  for (const auto& [session, part] : *parts)
    if (part > kFullLoad) return std::nullopt;
  return LoadShareTable{(*v)["epoch"].asInt64(), (*v)["term"].asInt64(), std::move(*parts)};
}

}  // namespace yokestream::coordination
