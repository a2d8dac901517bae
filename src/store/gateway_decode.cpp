// Decodes the gateway's JSON into replies.
#include <charconv>

#include "base/json.h"
#include "store/gateway_codec.h"

namespace yokestream::store {
namespace {

// gRPC status codes, as reported by the gateway, after which the store is certainly unchanged. After any
// other code (unavailable, deadline exceeded, unknown) the change may have been made.
constexpr int kInvalidArgument = 3;
constexpr int kNotFound = 5;
constexpr int kPermissionDenied = 7;
constexpr int kResourceExhausted = 8;
constexpr int kFailedPrecondition = 9;
constexpr int kOutOfRange = 11;
constexpr int kUnimplemented = 12;
constexpr int kUnauthenticated = 16;

constexpr std::size_t kMaxMessageBytes = 200;  // of the store's error message, in a cause

bool leaves_store_unchanged(int code) {
  return code == kInvalidArgument || code == kNotFound || code == kPermissionDenied ||
         code == kResourceExhausted || code == kFailedPrecondition || code == kOutOfRange ||
         code == kUnimplemented || code == kUnauthenticated;
}

std::optional<Json::Value> parse(std::string_view text) {
  constexpr int kMaxDepth = 32;
  auto value = base::read_json(text, text.size(), kMaxDepth);  // the reader has limited its size
  return value && value->isObject() ? value : std::nullopt;
}

// Thrown for a field of the wrong type or value, and caught in this file: the whole message is malformed.
struct MalformedReply {};

const Json::Value& member(const Json::Value& object, const char* name) {
  return object.isObject() ? object[name] : Json::Value::nullSingleton();
}
std::int64_t number(const Json::Value& v) {
  if (v.isNull()) return 0;
  if (v.isInt64()) return v.asInt64();
  if (!v.isString()) throw MalformedReply{};
  const std::string text = v.asString();
  std::int64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size()) throw MalformedReply{};
  return n;
}
std::string bytes(const Json::Value& v, std::size_t max_bytes) {
  if (v.isNull()) return {};
  if (!v.isString()) throw MalformedReply{};
  auto decoded = from_base64(v.asString());
  if (!decoded || decoded->size() > max_bytes) throw MalformedReply{};
  return std::move(*decoded);
}
bool flag(const Json::Value& v) {
  if (!v.isNull() && !v.isBool()) throw MalformedReply{};
  return !v.isNull() && v.asBool();
}
const Json::Value& list(const Json::Value& v) {
  if (!v.isNull() && !v.isArray()) throw MalformedReply{};
  return v;
}
KeyValue key_value(const Json::Value& v) {
  KeyValue kv;
  kv.key = bytes(member(v, "key"), kMaxKeyBytes);
  kv.value = bytes(member(v, "value"), kMaxValueBytes);
  kv.create_revision = number(member(v, "create_revision"));
  kv.mod_revision = number(member(v, "mod_revision"));
  kv.version = number(member(v, "version"));
  kv.lease = LeaseId(number(member(v, "lease")));
  if (kv.key.empty()) throw MalformedReply{};
  return kv;
}
RangeResult read_range_result(const Json::Value& v) {
  RangeResult out;
  for (const auto& kv : list(member(v, "kvs"))) out.key_values.push_back(key_value(kv));
  return out;
}
Revision read_revision(const Json::Value& v) {
  const Revision revision = number(member(member(v, "header"), "revision"));
  if (revision <= 0) throw MalformedReply{};
  return revision;
}

// Reads the result of each kind of request; throws MalformedReply if a required field is missing.
void read_result(const Txn& txn, const Json::Value& v, Completed& done) {
  done.succeeded = flag(member(v, "succeeded"));
  const auto& operations = done.succeeded ? txn.on_success : txn.on_failure;
  const Json::Value& responses = list(member(v, "responses"));
  if (responses.size() != operations.size()) throw MalformedReply{};
  for (Json::ArrayIndex i = 0; i < responses.size(); ++i) {
    if (std::holds_alternative<Range>(operations[i]))
      done.ranges.push_back(read_range_result(member(responses[i], "response_range")));
  }
}
void read_result(const Range&, const Json::Value& v, Completed& done) {
  done.ranges.push_back(read_range_result(v));
}
void read_result(const GrantLease&, const Json::Value& v, Completed& done) {
  done.lease = LeaseId(number(member(v, "ID")));
  done.ttl_s = number(member(v, "TTL"));
  if (done.lease == LeaseId::none || done.ttl_s <= 0) throw MalformedReply{};
}
void read_result(const KeepLeaseAlive& request, const Json::Value& v, Completed& done) {
  // The gateway sends the reply as a stream of one message.
  const Json::Value& result = member(v, "result");
  if (!result.isObject()) throw MalformedReply{};
  done.lease = LeaseId(number(member(result, "ID")));
  done.ttl_s = number(member(result, "TTL"));
  done.revision = read_revision(result);
  if (done.lease != request.lease || done.ttl_s < 0) throw MalformedReply{};
}
void read_result(const RevokeLease&, const Json::Value&, Completed&) {}

Reply error_reply(const Request& request, unsigned status, std::string_view body) {
  std::string cause = "HTTP " + std::to_string(status);
  int code = 0;
  try {
    if (const auto v = parse(body)) {
      code = static_cast<int>(number(member(*v, "code")));
      if (member(*v, "message").isString())
        cause += ": " + member(*v, "message").asString().substr(0, kMaxMessageBytes);
    }
  } catch (const MalformedReply&) {
    code = 0;
  }
  if (leaves_store_unchanged(code) || !may_change(request)) return Failed{cause, code == kOutOfRange};
  return OutcomeUnknown{cause};
}

}  // namespace

Reply decode(const Request& request, unsigned status, std::string_view body) {
  if (status != 200) return error_reply(request, status, body);
  try {
    const auto v = parse(body);
    if (!v) throw MalformedReply{};
    if (v->isMember("error")) return error_reply(request, status, (*v)["error"].toStyledString());
    Completed done;
    if (!std::holds_alternative<KeepLeaseAlive>(request)) done.revision = read_revision(*v);
    std::visit([&](const auto& r) { read_result(r, *v, done); }, request);
    return done;
  } catch (const MalformedReply&) {
    constexpr const char* kMalformed = "malformed reply";
    if (may_change(request)) return OutcomeUnknown{kMalformed};
    return Failed{kMalformed};
  }
}

std::optional<WatchResponse> decode_watch_response(std::string_view line) try {
  const auto v = parse(line);
  if (!v || !member(*v, "result").isObject()) return std::nullopt;
  const Json::Value& result = member(*v, "result");
  WatchResponse out;
  out.revision = read_revision(result);
  out.created = flag(member(result, "created"));
  out.canceled = flag(member(result, "canceled"));
  out.compact_revision = number(member(result, "compact_revision"));
  for (const auto& event : list(member(result, "events"))) {
    const Json::Value& type = member(event, "type");
    if (!type.isNull() && !type.isString()) return std::nullopt;
    const bool removed = type.isString() && type.asString() == "DELETE";
    out.events.push_back(
        {removed ? WatchEvent::Kind::removed : WatchEvent::Kind::put, key_value(member(event, "kv"))});
  }
  return out;
} catch (const MalformedReply&) {
  return std::nullopt;
}

}  // namespace yokestream::store
