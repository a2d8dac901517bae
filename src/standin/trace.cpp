#include "standin/trace.h"

#include <cstdio>
#include <type_traits>

#include "store/gateway_codec.h"

namespace yokestream::standin {
namespace {

using dispatch::Event;

// Joins its parts by single spaces.
template <class... Parts>
std::string line(const Parts&... parts) {
  std::string out;
  const auto add = [&](const auto& part) {
    if (!out.empty()) out += ' ';
    if constexpr (std::is_convertible_v<decltype(part), std::string_view>)
      out += std::string_view(part);
    else if constexpr (std::is_enum_v<std::decay_t<decltype(part)>>)
      out += std::to_string(static_cast<std::uint64_t>(part));
    else
      out += std::to_string(part);
  };
  (add(parts), ...);
  return out;
}

std::string describe_request(const dispatch::RequestReceived& a) {
  return line(a.session, a.call, a.request_id, a.query_class, a.tenant, a.table_group, exact(a.memory_mb),
              a.work ? exact(*a.work) : "-", exact(a.deadline), a.is_retry, a.statement);
}

std::string describe_list(const config::MembersEvent& event) {
  std::string out = line(event.number, event.whole);
  for (const auto& m : event.members)
    out += line(" |", m.uid, m.endpoint ? to_string(*m.endpoint) : "-", m.zone, m.kind, m.cell, m.state,
                exact(m.weight), m.boot_ms);
  return out;
}

std::string describe_answer(const EngineResponse& a) {
  std::string out = line(a.id, a.type, a.page_count, a.page_index, a.progress, exact(a.progress_value),
                         a.work_ms ? exact(*a.work_ms) : "-", exact(a.memory_mb), a.body);
  for (const double x : a.load_report) out += ' ' + exact(x);
  return out;
}

struct EventWords {
  std::string operator()(const dispatch::SessionOpened& e) const {
    return line("session", e.session, e.origin);
  }
  std::string operator()(const dispatch::RequestReceived& e) const {
    return line("request", describe_request(e));
  }
  std::string operator()(const dispatch::BadRequest& e) const {
    return line("bad", e.session, e.call, e.problem);
  }
  std::string operator()(const dispatch::RequestCancelled& e) const {
    return line("gave-up", e.session, e.call);
  }
  std::string operator()(const dispatch::ProbeReceived& e) const { return line("probe", e.session, e.call); }
  std::string operator()(const dispatch::QuoteRequested& e) const {
    return line("quote", describe_request(e.request));
  }
  std::string operator()(const dispatch::SessionClosed& e) const { return line("session-end", e.session); }
  std::string operator()(const dispatch::SessionStalled& e) const { return line("stalled", e.session); }
  std::string operator()(const dispatch::SessionResumed& e) const { return line("resumed", e.session); }
  std::string operator()(const dispatch::EngineConnected& e) const { return line("up", e.connection); }
  std::string operator()(const dispatch::EngineDisconnected& e) const {
    return line("down", e.connection, e.local_fault);
  }
  std::string operator()(const dispatch::ResponseReceived& e) const {
    return line("answer", e.connection, describe_answer(e.response));
  }
  std::string operator()(const dispatch::EngineListChanged& e) const {
    return line("list", describe_list(e.event));
  }
  std::string operator()(const dispatch::BeginShutdown& e) const {
    return line("leave", e.has_successor, exact(e.max_duration));
  }
  std::string operator()(const dispatch::StartDraining&) const { return "evacuate"; }
  std::string operator()(const dispatch::Resume&) const { return "activate"; }
};

std::string describe_key(const store::KeyValue& kv) {
  return line(kv.key, kv.value, kv.create_revision, kv.mod_revision, kv.version, kv.lease);
}

}  // namespace

std::string exact(double x) {
  char text[32];
  std::snprintf(text, sizeof text, "%a", x);
  return text;
}

std::string describe(const Event& event) { return std::visit(EventWords{}, event); }

std::string describe(const store::Request& request) {
  const store::GatewayCall call = store::encode(request);
  return line("ask", call.path, call.body, call.writes);
}

std::string describe(const store::Reply& reply) {
  if (std::holds_alternative<store::OutcomeUnknown>(reply)) return "reply unknown";
  if (const auto* failed = std::get_if<store::Failed>(&reply)) return line("reply failed", failed->compacted);
  const auto& done = std::get<store::Completed>(reply);
  std::string out = line("reply done", done.revision, done.succeeded, done.lease, done.ttl_s);
  for (const auto& ranged : done.ranges)
    for (const auto& kv : ranged.key_values) out += " | " + describe_key(kv);
  return out;
}

std::string describe(const store::WatchResponse& message) {
  std::string out =
      line("watched", message.revision, message.created, message.canceled, message.compact_revision);
  for (const auto& event : message.events)
    out += line(" |", event.kind == store::WatchEvent::Kind::put, describe_key(event.key_value));
  return out;
}

}  // namespace yokestream::standin
