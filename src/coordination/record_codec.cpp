// Encodes member records and load share tables as JSON for the store, and decodes them.
//
// Fields of the stored JSON: `seen` holds acknowledged_epochs, `traffic` requests_per_s, `term` the fencing
// token, `parts` the shares, and `form` the version of the format.
#include <cmath>
#include <cstdio>

#include "base/json.h"
#include "coordination/load_shares.h"

namespace yokestream::coordination {
namespace {

constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxTallyPlans = 16;
constexpr std::size_t kMaxNumbersPerTally = 16;
constexpr std::size_t kMaxTasks = 16;

// nullopt: not a JSON object of a supported version.
std::optional<Json::Value> parse(std::string_view text, std::size_t max_bytes) {
  auto value = base::read_json(text, max_bytes);
  if (!value || !value->isObject() || (*value)["form"] != 1) return std::nullopt;
  return value;
}

bool is_name(const Json::Value& value) {
  return value.isString() && value.asString().size() <= kMaxNameBytes;
}

// Decodes an object of at most `max_entries` non-negative integers; nullopt: malformed.
std::optional<std::map<std::string, std::int64_t>> decode_numbers(const Json::Value& value,
                                                                  std::size_t max_entries) {
  if (!value.isObject() || value.size() > max_entries) return std::nullopt;
  std::map<std::string, std::int64_t> out;
  for (const auto& name : value.getMemberNames()) {
    if (!value[name].isInt64() || value[name].asInt64() < 0) return std::nullopt;
    out[name] = value[name].asInt64();
  }
  return out;
}
std::optional<std::map<std::string, std::vector<std::int64_t>>> decode_tallies(const Json::Value& value) {
  std::map<std::string, std::vector<std::int64_t>> out;
  if (value.isNull()) return out;
  if (!value.isObject() || value.size() > kMaxTallyPlans) return std::nullopt;
  for (const auto& name : value.getMemberNames()) {
    if (!value[name].isArray() || value[name].size() > kMaxNumbersPerTally) return std::nullopt;
    for (const auto& number : value[name]) {
      if (!number.isInt64() || number.asInt64() < 0) return std::nullopt;
      out[name].push_back(number.asInt64());
    }
  }
  return out;
}
Json::Value to_json(const std::map<std::string, std::int64_t>& numbers) {
  Json::Value out(Json::objectValue);
  for (const auto& [name, number] : numbers) out[name] = Json::Int64(number);
  return out;
}

}  // namespace

std::string session_name(store::LeaseId lease) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(lease));
  return text;
}

std::string encode(const MemberRecord& record) {
  Json::Value out;
  out["form"] = 1;
  out["name"] = record.name.substr(0, kMaxNameBytes);
  out["version"] = record.version.substr(0, kMaxNameBytes);
  out["traffic"] = record.requests_per_s;
  out["seen"] = to_json(record.acknowledged_epochs);
  for (const auto& [plan, tally] : record.tallies)
    for (const auto number : tally) out["tallies"][plan].append(Json::Int64(number));
  return base::write_json(out);
}

std::optional<MemberRecord> decode_member_record(std::string_view text) {
  const auto value = parse(text, kMaxMemberRecordBytes);
  if (!value || !is_name((*value)["name"]) || !is_name((*value)["version"]) ||
      !(*value)["traffic"].isNumeric())
    return std::nullopt;
  const auto acknowledged = decode_numbers((*value)["seen"], kMaxTasks);
  const double traffic = (*value)["traffic"].asDouble();
  if (!acknowledged || !std::isfinite(traffic) || traffic < 0) return std::nullopt;
  const auto tallies = decode_tallies((*value)["tallies"]);
  if (!tallies) return std::nullopt;
  return MemberRecord{(*value)["name"].asString(), (*value)["version"].asString(), traffic, *acknowledged,
                      *tallies};
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
  const auto value = parse(text, store::kMaxValueBytes);
  if (!value || !(*value)["epoch"].isInt64() || !(*value)["term"].isInt64()) return std::nullopt;
  auto shares = decode_numbers((*value)["parts"], kMaxMembers);
  if (!shares || (*value)["epoch"].asInt64() < 0) return std::nullopt;
  for (const auto& [session, share] : *shares)
    if (share > kFullLoad) return std::nullopt;
  return LoadShareTable{(*value)["epoch"].asInt64(), (*value)["term"].asInt64(), std::move(*shares)};
}

}  // namespace yokestream::coordination
