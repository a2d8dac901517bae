#include "standin/pool.h"

#include <json/json.h>

namespace yokestream::standin {
namespace {

constexpr std::int64_t kSecond = 1'000'000'000;

Json::Value target(const std::string& uid, const config::Endpoint& at, const std::string& state,
                   std::int64_t boot_ms) {
  Json::Value t;
  t["uid"] = uid;
  t["endpoint"] = to_string(at);
  t["az"] = "here";
  t["model"] = "standin";
  t["state"] = state;
  t["boot_ms"] = Json::Int64(boot_ms);
  return t;
}

std::string compact(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

Json::Value event(std::uint64_t number, bool all) {
  Json::Value e;
  e["n"] = Json::UInt64(number);
  e["members"]["rev"] = Json::UInt64(number);
  e["members"]["all"] = all;
  e["members"]["targets"] = Json::Value(Json::arrayValue);
  return e;
}

Json::Value class_of(const char* name, std::int64_t aim_ms, double stretch, std::int64_t deadline_s,
                     const char* repeat, double worth) {
  Json::Value c;
  c["Name"] = name;
  c["Promise"] = Json::Int64(aim_ms * 1'000'000);
  c["AimStretch"] = stretch;
  c["Deadline"] = Json::Int64(deadline_s * kSecond);
  c["Idempotency"] = repeat;
  c["Worth"] = worth;
  c["LateWorth"] = 0.3;
  return c;
}

}  // namespace

const char* const kMemberNames[kMembers] = {"souss-energie", "atlas-distrib", "oasis-gaz"};
const char* const kClassNames[3] = {"nom-lookup", "balance-report", "nom-load"};
const double kShares[kMembers] = {0.52, 0.35, 0.13};

// Not inlined: g++ 12 warns of overlapping copies where it sees a literal's length.
[[gnu::noinline]] std::string numbered(const char* prefix, std::size_t number) {
  std::string out(prefix);
  out += std::to_string(number);
  return out;
}

std::string platform_config(const PoolSettings& pool) {
  Json::Value root;
  root["name"] = "standin";
  root["listen"] = pool.listen;
  root["seed"] = Json::UInt64(pool.seed);
  root["limits"]["memory_mb"] = Json::UInt64(pool.memory_mb);
  root["limits"]["sockets"] = Json::UInt64(pool.sockets);
  if (!pool.feed.empty()) root["feed"] = pool.feed;
  root["known"]["n"] = 1;
  Json::Value first = event(1, true);
  for (std::size_t i = 0; i < pool.engines.size(); ++i)
    first["members"]["targets"].append(target(numbered("e", i), pool.engines[i], "up", 0));
  root["known"]["events"].append(first);
  Json::Value& s = root["settings"];
  s["Classes"].append(class_of(kClassNames[kLookup], 800, 2, 4, "idempotent", 1));
  s["Classes"].append(class_of(kClassNames[kReport], 3000, 2.5, 25, "idempotent", 8));
  s["Classes"].append(class_of(kClassNames[kLoad], 4000, 2.5, 25, "at_most_once", 8));
  for (std::size_t i = 0; i < kMembers; ++i) {
    Json::Value member;
    member["Name"] = kMemberNames[i];
    member["Share"] = kShares[i];
    member["QuotaPerS"] = pool.capacity_per_s * kShares[i];
    s["Orgs"].append(member);
  }
  s["OverShareWorth"] = 0.1;
  s["Zones"].append("here");
  s["HostTypes"].append("standin");
  s["FamilyInfo"]["CpuOfKind"].append(pool.cores);
  s["FamilyInfo"]["MemoryByKindMb"].append(pool.cores * 2048);
  for (const int threads : {1, 2, 2}) s["FamilyInfo"]["Dop"].append(threads);
  for (const bool load : {false, false, true}) s["FamilyInfo"]["WritesTables"].append(load);
  s["FamilyInfo"]["LanesCount"] = true;
  s["FamilyInfo"]["Bills"] = true;
  s["FamilyInfo"]["NotePeriod"] = Json::Int64(kSecond);
  s["Allowed"]["Cancel"] = true;
  s["Allowed"]["DialTimeout"] = Json::Int64(250'000'000);
  s["Allowed"]["IdleClose"] = Json::Int64(30 * kSecond);
  s["Allowed"]["SendCap"] = 4;
  s["Allowed"]["StreamsPerConn"] = 100;
  s["Allowed"]["RetryAfter"] = true;
  s["Allowed"]["MaxRetryAfter"] = Json::Int64(static_cast<std::int64_t>(pool.most_hint_ms) * 1'000'000);
  s["Report"]["How"] = "piggyback";
  for (const char* field : {"queue", "inflight", "x0"}) s["Report"]["Fields"].append(field);
  s["Safety"]["AnswerSlack"] = Json::Int64(20'000'000);
  s["Safety"]["DrainGrace"] = Json::Int64(250'000'000);
  s["Safety"]["MinExtra"] = 5.0;
  s["Safety"]["ExtraRatio"] = 0.2;
  s["Safety"]["RatioSpan"] = Json::Int64(5 * kSecond);
  s["Safety"]["Cold"] = Json::Int64(10 * kSecond);
  s["Safety"]["StartCapacity"] = 0.34;
  s["Safety"]["TipMultiple"] = 2.5;
  s["Safety"]["TipAfter"] = Json::Int64(3 * kSecond);
  return compact(root);
}

std::string member_event(std::uint64_t number, const std::string& uid, const config::Endpoint& at,
                         const std::string& state, std::int64_t boot_ms) {
  Json::Value e = event(number, false);
  e["members"]["targets"].append(target(uid, at, state, boot_ms));
  return compact(e);
}

}  // namespace yokestream::standin
