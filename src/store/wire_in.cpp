// The gateway's JSON to replies.
#include <charconv>

#include "base/json.h"
#include "store/wire.h"

namespace yokestream::store {
namespace {

// The gateway's error codes, those of gRPC, under which the store has certainly changed nothing. All others
// (unavailable, a time-out, an unknown error) may come after the change was made.
constexpr int kInvalid = 3, kNotFound = 5, kDenied = 7, kExhausted = 8, kPrecondition = 9, kOutOfRange = 11,
              kUnimplemented = 12, kUnauthenticated = 16;

std::optional<Json::Value> parse(std::string_view text) {
  constexpr int kDeepest = 32;
  auto value = base::read_json(text, text.size(), kDeepest);  // its reader has bounded it
  return value && value->isObject() ? value : std::nullopt;
}

// A part that is not what it should be makes the whole message nonsense.
struct Nonsense {};

const Json::Value& member(const Json::Value& object, const char* name) {
  return object.isObject() ? object[name] : Json::Value::nullSingleton();
}
std::int64_t number(const Json::Value& v) {
  if (v.isNull()) return 0;
  if (v.isInt64()) return v.asInt64();
  if (!v.isString()) throw Nonsense{};
  const std::string text = v.asString();
  std::int64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size()) throw Nonsense{};
  return n;
}
std::string bytes(const Json::Value& v, std::size_t most) {
  if (v.isNull()) return {};
  if (!v.isString()) throw Nonsense{};
  auto decoded = from_base64(v.asString());
  if (!decoded || decoded->size() > most) throw Nonsense{};
  return std::move(*decoded);
}
bool flag(const Json::Value& v) {
  if (!v.isNull() && !v.isBool()) throw Nonsense{};
  return !v.isNull() && v.asBool();
}
const Json::Value& list(const Json::Value& v) {
  if (!v.isNull() && !v.isArray()) throw Nonsense{};
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
  if (kv.key.empty()) throw Nonsense{};
  return kv;
}
RangeResult ranged(const Json::Value& v) {
  RangeResult out;
  for (const auto& kv : list(member(v, "kvs"))) out.key_values.push_back(key_value(kv));
  return out;
}
Revision revision_of(const Json::Value& v) {
  const Revision revision = number(member(member(v, "header"), "revision"));
  if (revision <= 0) throw Nonsense{};
  return revision;
}

// The answer to each kind of request; what must be there for it to be one.
void take(const Txn& txn, const Json::Value& v, Completed& done) {
  done.succeeded = flag(member(v, "succeeded"));
  const auto& asked = done.succeeded ? txn.on_success : txn.on_failure;
  const Json::Value& responses = list(member(v, "responses"));
  if (responses.size() != asked.size()) throw Nonsense{};
  for (Json::ArrayIndex i = 0; i < responses.size(); ++i) {
    if (std::holds_alternative<Range>(asked[i]))
      done.ranges.push_back(ranged(member(responses[i], "response_range")));
  }
}
void take(const Range&, const Json::Value& v, Completed& done) { done.ranges.push_back(ranged(v)); }
void take(const GrantLease&, const Json::Value& v, Completed& done) {
  done.lease = LeaseId(number(member(v, "ID")));
  done.ttl_s = number(member(v, "TTL"));
  if (done.lease == LeaseId::none || done.ttl_s <= 0) throw Nonsense{};
}
void take(const KeepLeaseAlive& asked, const Json::Value& v, Completed& done) {  // a stream of one message
  const Json::Value& result = member(v, "result");
  if (!result.isObject()) throw Nonsense{};
  done.lease = LeaseId(number(member(result, "ID")));
  done.ttl_s = number(member(result, "TTL"));
  done.revision = revision_of(result);
  if (done.lease != asked.lease || done.ttl_s < 0) throw Nonsense{};
}
void take(const RevokeLease&, const Json::Value&, Completed&) {}

Reply error_reply(const Request& request, unsigned status, std::string_view body) {
  std::string why = "HTTP " + std::to_string(status);
  int code = 0;
  try {
    if (const auto v = parse(body)) {
      code = static_cast<int>(number(member(*v, "code")));
      if (member(*v, "message").isString()) why += ": " + member(*v, "message").asString().substr(0, 200);
    }
  } catch (const Nonsense&) {
    code = 0;
  }
  const bool nothing = code == kInvalid || code == kNotFound || code == kDenied || code == kExhausted ||
                       code == kPrecondition || code == kOutOfRange || code == kUnimplemented ||
                       code == kUnauthenticated;
  if (nothing || !may_change(request)) return Failed{why, code == kOutOfRange};
  return OutcomeUnknown{why};
}

}  // namespace

Reply decode(const Request& request, unsigned status, std::string_view body) {
  if (status != 200) return error_reply(request, status, body);
  try {
    const auto v = parse(body);
    if (!v) throw Nonsense{};
    if (v->isMember("error")) return error_reply(request, status, (*v)["error"].toStyledString());
    Completed done;
    if (!std::holds_alternative<KeepLeaseAlive>(request)) done.revision = revision_of(*v);
    std::visit([&](const auto& r) { take(r, *v, done); }, request);
    return done;
  } catch (const Nonsense&) {
    constexpr const char* kWhy = "an answer that makes no sense";
    if (may_change(request)) return OutcomeUnknown{kWhy};
    return Failed{kWhy};
  }
}

std::optional<WatchResponse> decode_watch_response(std::string_view line) try {
  const auto v = parse(line);
  if (!v || !member(*v, "result").isObject()) return std::nullopt;
  const Json::Value& result = member(*v, "result");
  WatchResponse out;
  out.revision = revision_of(result);
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
} catch (const Nonsense&) {
  return std::nullopt;
}

}  // namespace yokestream::store
