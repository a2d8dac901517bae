// Encodes requests as the gateway's JSON.
#include <boost/beast/core/detail/base64.hpp>

#include "base/json.h"
#include "store/gateway_codec.h"

namespace yokestream::store {
namespace {

namespace base64 = boost::beast::detail::base64;

std::string decimal(std::int64_t number) { return std::to_string(number); }

Json::Value key_range_json(const std::string& key, const std::string& end) {
  Json::Value out;
  out["key"] = to_base64(key);
  if (!end.empty()) out["range_end"] = to_base64(end);
  return out;
}
Json::Value to_json(const Put& put) {
  Json::Value out = key_range_json(put.key, "");
  out["value"] = to_base64(put.value);
  if (put.lease != LeaseId::none) out["lease"] = decimal(static_cast<std::int64_t>(put.lease));
  return out;
}
Json::Value to_json(const Delete& del) { return key_range_json(del.key, del.end); }
Json::Value to_json(const Range& range) {
  Json::Value out = key_range_json(range.key, range.end);
  if (range.revision > 0) out["revision"] = decimal(range.revision);
  return out;
}
Json::Value to_json(const Op& op) {
  constexpr const char* kNames[] = {"request_put", "request_delete_range", "request_range"};
  Json::Value out;
  out[kNames[op.index()]] = std::visit([](const auto& o) { return to_json(o); }, op);
  return out;
}
Json::Value to_json(const Compare& c) {
  Json::Value out = key_range_json(c.key, "");
  out["result"] = "EQUAL";
  out["target"] = c.target == Compare::Target::create_revision ? "CREATE"
                  : c.target == Compare::Target::mod_revision  ? "MOD"
                                                               : "VALUE";
  if (c.target == Compare::Target::create_revision) out["create_revision"] = decimal(c.revision);
  if (c.target == Compare::Target::mod_revision) out["mod_revision"] = decimal(c.revision);
  if (c.target == Compare::Target::value) out["value"] = to_base64(c.value);
  return out;
}
Json::Value to_json(const Txn& txn) {
  Json::Value out(Json::objectValue);
  for (const auto& c : txn.compares) out["compare"].append(to_json(c));
  for (const auto& op : txn.on_success) out["success"].append(to_json(op));
  for (const auto& op : txn.on_failure) out["failure"].append(to_json(op));
  return out;
}
Json::Value to_json(const GrantLease& grant) {
  Json::Value out;
  out["TTL"] = decimal(grant.ttl_s);
  return out;
}
template <class Leased>  // KeepLeaseAlive, RevokeLease
Json::Value to_json(const Leased& leased) {
  Json::Value out;
  out["ID"] = decimal(static_cast<std::int64_t>(leased.lease));
  return out;
}

}  // namespace

std::string to_base64(std::string_view bytes) {
  std::string out(base64::encoded_size(bytes.size()), '\0');
  out.resize(base64::encode(out.data(), bytes.data(), bytes.size()));
  return out;
}
std::optional<std::string> from_base64(std::string_view text) {
  std::string out(base64::decoded_size(text.size()) + 3, '\0');
  const auto [written, read] = base64::decode(out.data(), text.data(), text.size());
  out.resize(written);
  if (to_base64(out) != text) return std::nullopt;  // truncated, or not base64
  return out;
}

bool may_change(const Request& request) {
  if (const auto* txn = std::get_if<Txn>(&request)) {
    const auto writes = [](const Op& op) { return !std::holds_alternative<Range>(op); };
    for (const auto* ops : {&txn->on_success, &txn->on_failure})
      for (const Op& op : *ops)
        if (writes(op)) return true;
    return false;
  }
  return !std::holds_alternative<Range>(request);
}

GatewayCall encode(const Request& request) {
  constexpr const char* kPaths[] = {"/v3/kv/txn", "/v3/kv/range", "/v3/lease/grant", "/v3/lease/keepalive",
                                    "/v3/lease/revoke"};
  return {kPaths[request.index()],
          base::write_json(std::visit([](const auto& r) { return to_json(r); }, request)),
          may_change(request)};
}

GatewayCall encode(const WatchRequest& watch) {
  Json::Value out;
  out["create_request"] = key_range_json(watch.key, watch.end);
  out["create_request"]["start_revision"] = decimal(watch.start_revision);
  return {"/v3/watch", base::write_json(out), false};
}

}  // namespace yokestream::store
