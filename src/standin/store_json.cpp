#include "standin/store_json.h"

#include <stdexcept>

#include "base/json.h"
#include "store/gateway_codec.h"

namespace yokestream::standin {
namespace {

Json::Value parse(const std::string& body) {
  const auto value = base::read_json(body, body.size());
  if (!value || !value->isObject()) throw std::runtime_error("no JSON object");
  return *value;
}
std::string bytes(const Json::Value& v) {
  const auto decoded = store::from_base64(v.asString());
  if (!decoded) throw std::runtime_error("no base64");
  return *decoded;
}
std::int64_t number(const Json::Value& v) { return v.isNull() ? 0 : std::stoll(v.asString()); }
Json::Value text(std::int64_t n) { return std::to_string(n); }

store::Put put(const Json::Value& v) {
  return {bytes(v["key"]), bytes(v["value"]), store::LeaseId(number(v["lease"]))};
}
store::Delete del(const Json::Value& v) { return {bytes(v["key"]), bytes(v["range_end"])}; }
store::Range range(const Json::Value& v) {
  return {bytes(v["key"]), bytes(v["range_end"]), number(v["revision"])};
}
store::Compare compare(const Json::Value& v) {
  using What = store::Compare::Target;
  if (v["result"].asString() != "EQUAL") throw std::runtime_error("no comparison that is played");
  const std::string target = v["target"].asString();
  const What what = target == "CREATE" ? What::create_revision
                    : target == "MOD"  ? What::mod_revision
                                       : What::value;
  const auto revision =
      what == What::create_revision ? number(v["create_revision"]) : number(v["mod_revision"]);
  return {what, bytes(v["key"]), revision, bytes(v["value"])};
}
std::vector<store::Op> ops(const Json::Value& list) {
  std::vector<store::Op> out;
  for (const auto& v : list) {
    if (v.isMember("request_put")) out.emplace_back(put(v["request_put"]));
    if (v.isMember("request_delete_range")) out.emplace_back(del(v["request_delete_range"]));
    if (v.isMember("request_range")) out.emplace_back(range(v["request_range"]));
  }
  return out;
}

Json::Value to_json(const store::KeyValue& kv) {
  Json::Value out;
  out["key"] = store::to_base64(kv.key);
  out["value"] = store::to_base64(kv.value);
  out["create_revision"] = text(kv.create_revision);
  out["mod_revision"] = text(kv.mod_revision);
  out["version"] = text(kv.version);
  if (kv.lease != store::LeaseId::none) out["lease"] = text(static_cast<std::int64_t>(kv.lease));
  return out;
}
Json::Value to_json(const store::RangeResult& ranged) {
  Json::Value out(Json::objectValue);
  for (const auto& kv : ranged.key_values) out["kvs"].append(to_json(kv));
  out["count"] = text(static_cast<std::int64_t>(ranged.key_values.size()));
  return out;
}
Json::Value header(store::Revision revision) {
  Json::Value out;
  out["cluster_id"] = "1";
  out["revision"] = text(revision);
  return out;
}

}  // namespace

store::Request decode_request(int kind, const std::string& body) {
  const Json::Value v = parse(body);
  if (kind == 1) return range(v);
  if (kind == 2) return store::GrantLease{number(v["TTL"])};
  if (kind == 3) return store::KeepLeaseAlive{store::LeaseId(number(v["ID"]))};
  if (kind == 4) return store::RevokeLease{store::LeaseId(number(v["ID"]))};
  store::Txn txn{{}, ops(v["success"]), ops(v["failure"])};
  for (const auto& c : v["compare"]) txn.compares.push_back(compare(c));
  return txn;
}

store::WatchRequest decode_watch(const std::string& body) {
  const Json::Value v = parse(body)["create_request"];
  return {bytes(v["key"]), bytes(v["range_end"]), number(v["start_revision"])};
}

std::string encode_answer(const store::Request& request, const StoreAnswer& answer) {
  const auto& done = answer.done;
  Json::Value out;
  out["header"] = header(done.revision);
  if (const auto* txn = std::get_if<store::Txn>(&request)) {
    if (done.succeeded) out["succeeded"] = true;  // the gateway leaves out what is false
    std::size_t next = 0;
    for (const auto& op : done.succeeded ? txn->on_success : txn->on_failure) {
      Json::Value one;
      if (std::holds_alternative<store::Range>(op))
        one["response_range"] = to_json(done.ranges[next++]);
      else
        one[std::holds_alternative<store::Put>(op) ? "response_put" : "response_delete_range"] =
            Json::Value(Json::objectValue);
      out["responses"].append(one);
    }
  } else if (std::holds_alternative<store::Range>(request)) {
    for (const auto& [name, value] : {std::pair{"kvs", to_json(done.ranges[0])["kvs"]}})
      if (!value.isNull()) out[name] = value;
  } else if (!std::holds_alternative<store::RevokeLease>(request)) {
    out["ID"] = text(static_cast<std::int64_t>(done.lease));
    if (done.ttl_s > 0) out["TTL"] = text(done.ttl_s);
  }
  if (!std::holds_alternative<store::KeepLeaseAlive>(request)) return base::write_json(out);
  Json::Value stream;
  stream["result"] = out;
  return base::write_json(stream) + "\n";
}

std::string encode_error(const StoreAnswer& answer) {
  Json::Value out;
  out["error"] = out["message"] = answer.message;
  out["code"] = answer.code;
  return base::write_json(out);
}

std::string encode_watched(const store::WatchResponse& watched) {
  Json::Value result;
  result["header"] = header(watched.revision);
  if (watched.created) result["created"] = true;
  if (watched.canceled) result["canceled"] = true;
  if (watched.compact_revision > 0) result["compact_revision"] = text(watched.compact_revision);
  for (const auto& event : watched.events) {
    Json::Value one;
    if (event.kind == store::WatchEvent::Kind::removed) one["type"] = "DELETE";
    one["kv"] = to_json(event.key_value);
    result["events"].append(one);
  }
  Json::Value out;
  out["result"] = result;
  return base::write_json(out) + "\n";
}

}  // namespace yokestream::standin
