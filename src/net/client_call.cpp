#include "net/client_call.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

#include "scheduler/quote.h"
#include "statement/table_group.h"

namespace yokestream::net {
namespace {

constexpr double kMaxWorkMs = 1e7;                         // hours
constexpr double kMaxMemoryMb = 1e7;                       // of the largest machines
constexpr Duration kClockSlack = std::chrono::seconds(1);  // by which a client may wait longer than its class

const std::string* find_field(const protocol::Call& call, const std::string& name) {
  const auto it = call.fields.find(name);
  return it == call.fields.end() ? nullptr : &it->second;
}

std::optional<double> parse_real(const std::string& text) {
  double n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(n)) return std::nullopt;
  return n;
}

template <class Id>
std::optional<Id> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return Id{static_cast<std::uint32_t>(it - names.begin())};
}

// Failure: an engine cannot parse a statement. Symptom: it closes the connection with all that runs on it.
// Guard: control characters are rejected here.
bool is_statement(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

bool is_request_id(const std::string& text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

// `quote` asks for a forecast only: its class comes as a field, all else as in the call itself.
bool is_quote(protocol::Call& call, const config::RealSettings& names) {
  if (!names.quote_method || call.method != "quote") return false;
  const auto* cls = find_field(call, "class");
  call.method = cls ? *cls : "";
  return true;
}

dispatch::Event call_event(dispatch::SessionId session, protocol::Call call, Time arrived,
                           const config::RealSettings& names) {
  const auto bad = [&](std::string problem) {
    return dispatch::BadRequest{session, call.id, std::move(problem)};
  };
  dispatch::RequestReceived out;
  out.session = session;
  out.call = call.id;
  const auto cls = index_of<policy::ClassId>(names.classes, call.method);
  if (!cls) return bad("unknown class");
  out.query_class = *cls;
  const auto* id = find_field(call, "req");
  if (!id || !is_request_id(*id)) return bad("bad field req");
  out.request_id = *id;
  const auto* timeout = find_field(call, "timeout");
  const auto left = timeout ? parse_real(*timeout) : std::nullopt;
  const Duration max_timeout = names.deadlines[static_cast<std::size_t>(out.query_class)] + kClockSlack;
  if (!left || *left <= 0 || *left * 1e6 > static_cast<double>(max_timeout.count()))
    return bad("bad field timeout");
  out.deadline = arrived + Duration(static_cast<Duration::rep>(*left * 1e6));
  if (!names.tenants.empty()) {
    const auto* owner = find_field(call, "owner");
    const auto tenant = owner ? index_of<policy::TenantId>(names.tenants, *owner) : std::nullopt;
    if (!tenant) return bad("unknown owner");
    out.tenant = *tenant;
  }
  if (const auto* ms = find_field(call, "ms")) {
    const auto work = parse_real(*ms);
    if (!work || *work < 0 || *work > kMaxWorkMs) return bad("bad field ms");
    if (*work > 0) out.work = Duration(static_cast<Duration::rep>(*work * 1e6));
  }
  if (const auto* mb = find_field(call, "mb")) {
    const auto memory = parse_real(*mb);
    if (!memory || *memory < 0 || *memory > kMaxMemoryMb) return bad("bad field mb");
    out.memory_mb = *memory;
  }
  if (!is_statement(call.body)) return bad("the statement is no text");
  const auto* resent = find_field(call, "resent");
  out.is_retry = resent && (*resent == "1" || *resent == "true");
  out.table_group = policy::TableGroupId{statement::table_group(call.body).value_or(0)};
  out.statement = std::move(call.body);
  return out;
}

}  // namespace

dispatch::Event to_event(dispatch::SessionId session, protocol::ClientMessage message, Time arrived,
                         const config::RealSettings& names) {
  if (auto* call = std::get_if<protocol::Call>(&message)) {
    const bool quote = is_quote(*call, names);
    dispatch::Event event = call_event(session, std::move(*call), arrived, names);
    if (!quote) return event;
    if (auto* request = std::get_if<dispatch::RequestReceived>(&event))
      return dispatch::QuoteRequested{std::move(*request)};
    return event;
  }
  if (const auto* probe = std::get_if<protocol::Probe>(&message))
    return dispatch::ProbeReceived{session, probe->id};
  if (const auto* bad = std::get_if<protocol::BadCall>(&message))
    return dispatch::BadRequest{session, bad->id, bad->problem};
  return dispatch::RequestCancelled{session, std::get<protocol::CancelCall>(message).id};
}

}  // namespace yokestream::net
