#include "net/client_call.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

#include "scheduler/wait_estimate.h"
#include "statement/table_group.h"

namespace yokestream::net {
namespace {

constexpr double kMaxWorkMs = 1e7;    // almost three hours: a longer estimate is not plausible
constexpr double kMaxMemoryMb = 1e7;  // 10 TB, the memory of the largest machines
// A client's timeout may exceed the deadline of its class by this much.
constexpr Duration kTimeoutTolerance = std::chrono::seconds(1);
constexpr double kNanosecondsPerMs = 1e6;

const std::string* find_field(const protocol::Call& call, const std::string& name) {
  const auto it = call.fields.find(name);
  return it == call.fields.end() ? nullptr : &it->second;
}

std::optional<double> parse_real(const std::string& text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

template <class Id>
std::optional<Id> index_of(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return Id{static_cast<std::uint32_t>(it - names.begin())};
}

// Failure: an engine cannot parse a statement. Symptom: it closes the connection, and every query that runs
// on it is lost. Guard: statements with control characters are rejected here.
bool is_valid_statement(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

bool is_request_id(const std::string& text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

// A `quote` call asks only for a forecast of the response time. It names its class in a field, and its other
// fields are those of a query. Replaces the method of such a call by the class and returns true.
bool take_quote_class(protocol::Call& call, const config::RealSettings& settings) {
  if (!settings.quote_method || call.method != "quote") return false;
  const auto* class_name = find_field(call, "class");
  call.method = class_name ? *class_name : "";
  return true;
}

dispatch::Event call_event(dispatch::SessionId session, protocol::Call call, Time arrived,
                           const config::RealSettings& settings) {
  const auto bad = [&](std::string problem) {
    return dispatch::BadRequest{session, call.id, std::move(problem)};
  };
  dispatch::RequestReceived out;
  out.session = session;
  out.call = call.id;
  const auto query_class = index_of<policy::ClassId>(settings.classes, call.method);
  if (!query_class) return bad("unknown class");
  out.query_class = *query_class;
  const auto* id = find_field(call, "req");
  if (!id || !is_request_id(*id)) return bad("bad field req");
  out.request_id = *id;
  const auto* timeout = find_field(call, "timeout");
  const auto timeout_ms = timeout ? parse_real(*timeout) : std::nullopt;
  const Duration max_timeout =
      settings.deadlines[static_cast<std::size_t>(out.query_class)] + kTimeoutTolerance;
  if (!timeout_ms || *timeout_ms <= 0 ||
      *timeout_ms * kNanosecondsPerMs > static_cast<double>(max_timeout.count()))
    return bad("bad field timeout");
  out.deadline = arrived + Duration(static_cast<Duration::rep>(*timeout_ms * kNanosecondsPerMs));
  if (!settings.tenants.empty()) {
    const auto* owner = find_field(call, "owner");
    const auto tenant = owner ? index_of<policy::TenantId>(settings.tenants, *owner) : std::nullopt;
    if (!tenant) return bad("unknown owner");
    out.tenant = *tenant;
  }
  if (const auto* work = find_field(call, "ms")) {
    const auto work_ms = parse_real(*work);
    if (!work_ms || *work_ms < 0 || *work_ms > kMaxWorkMs) return bad("bad field ms");
    const Duration estimate(static_cast<Duration::rep>(*work_ms * kNanosecondsPerMs));
    if (estimate > Duration{}) out.work = estimate;
  }
  if (const auto* memory = find_field(call, "mb")) {
    const auto memory_mb = parse_real(*memory);
    if (!memory_mb || *memory_mb < 0 || *memory_mb > kMaxMemoryMb) return bad("bad field mb");
    out.memory_mb = *memory_mb;
  }
  if (!is_valid_statement(call.body)) return bad("the statement is no text");
  const auto* resent = find_field(call, "resent");
  out.is_retry = resent && (*resent == "1" || *resent == "true");
  out.table_group = policy::TableGroupId{statement::table_group(call.body).value_or(0)};
  out.statement = std::move(call.body);
  return out;
}

}  // namespace

std::optional<policy::ClassId> find_class(const protocol::Call& call, const config::RealSettings& settings) {
  return index_of<policy::ClassId>(settings.classes, call.method);
}

dispatch::Event to_event(dispatch::SessionId session, protocol::ClientMessage message, Time arrived,
                         const config::RealSettings& settings) {
  if (auto* call = std::get_if<protocol::Call>(&message)) {
    const bool is_quote = take_quote_class(*call, settings);
    dispatch::Event event = call_event(session, std::move(*call), arrived, settings);
    if (!is_quote) return event;
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
