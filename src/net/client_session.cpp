#include "net/client_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

#include "protocol/msgpack_rpc.h"
#include "statement/table_group.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::size_t kOutboxBytes = 8 * 1024 * 1024;  // all answers that may be open at once, and more

const std::string* field(const protocol::Call& call, const std::string& name) {
  const auto it = call.fields.find(name);
  return it == call.fields.end() ? nullptr : &it->second;
}

std::optional<double> real(const std::string& text) {
  double n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(n)) return std::nullopt;
  return n;
}

template <class Id>
std::optional<Id> position(const std::vector<std::string>& names, const std::string& name) {
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return Id{static_cast<std::uint32_t>(it - names.begin())};
}

bool is_request_id(const std::string& text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

manager::Event call_event(manager::SessionId session, protocol::Call call, Time arrived,
                          const config::RealSettings& names) {
  const auto bad = [&](std::string problem) {
    return manager::BadRequest{session, call.id, std::move(problem)};
  };
  manager::Arrived out;
  out.session = session;
  out.call = call.id;
  const auto cls = position<lynxstand::ClassId>(names.classes, call.method);
  if (!cls) return bad("unknown class");
  out.cls = *cls;
  const auto* id = field(call, "req");
  if (!id || !is_request_id(*id)) return bad("bad field req");
  out.request_id = *id;
  const auto* timeout = field(call, "timeout");
  const auto left = timeout ? real(*timeout) : std::nullopt;
  if (!left || *left <= 0 || *left > 1e9) return bad("bad field timeout");
  out.deadline = arrived + Duration(static_cast<Duration::rep>(*left * 1e6));
  if (!names.tenants.empty()) {
    const auto* owner = field(call, "owner");
    const auto tenant = owner ? position<lynxstand::TenantId>(names.tenants, *owner) : std::nullopt;
    if (!tenant) return bad("unknown owner");
    out.tenant = *tenant;
  }
  if (const auto* ms = field(call, "ms")) {
    const auto work = real(*ms);
    if (!work || *work < 0 || *work > 1e9) return bad("bad field ms");
    if (*work > 0) out.work = Duration(static_cast<Duration::rep>(*work * 1e6));
  }
  if (const auto* mb = field(call, "mb")) {
    const auto memory = real(*mb);
    if (!memory || *memory < 0) return bad("bad field mb");
    out.memory_mb = *memory;
  }
  const auto* resent = field(call, "resent");
  out.repeat = resent && (*resent == "1" || *resent == "true");
  out.tables = lynxstand::TableGroupId{statement::table_group(call.body).value_or(0)};
  out.statement = std::move(call.body);
  return out;
}

}  // namespace

manager::Event to_event(manager::SessionId session, protocol::ClientMessage message, Time arrived,
                        const config::RealSettings& names) {
  if (auto* call = std::get_if<protocol::Call>(&message))
    return call_event(session, std::move(*call), arrived, names);
  if (const auto* probe = std::get_if<protocol::Probe>(&message))
    return manager::ProbeAsked{session, probe->id};
  if (const auto* bad = std::get_if<protocol::BadCall>(&message))
    return manager::BadRequest{session, bad->id, bad->problem};
  return manager::GaveUp{session, std::get<protocol::GiveUp>(message).id};
}

ClientSession::ClientSession(manager::SessionId id, Fd fd, const config::RealSettings& names, Inbox& inbox,
                             manager::Log& log)
    : id_(id), names_(names), inbox_(inbox), log_(log), socket_(std::move(fd)), outbox_(kOutboxBytes) {}

void ClientSession::start() try {
  reader_ = Thread(kSmallStack, [this] { read(); });
  writer_ = Thread(kSmallStack, [this] { write(); });
} catch (const std::system_error& problem) {
  log_.note(std::string("a client connection is closed: ") + problem.what());
  break_off();
  inbox_.post(manager::Event(manager::SessionEnded{id_}));
}

ClientSession::~ClientSession() { break_off(); }

void ClientSession::break_off() {
  outbox_.close();
  socket_.break_off();
}

// Guards against a client that does not read: its answers pile up to the bound, then its connection goes.
void ClientSession::add(std::string bytes, manager::Reservation held) {
  const std::size_t size = bytes.size();
  if (!outbox_.add(Item{std::move(bytes), std::move(held)}, size)) break_off();
}

void ClientSession::serve(manager::CallId call, manager::Result result) {
  std::string bytes = protocol::encode_result(call, result.rows, {});
  add(std::move(bytes), std::move(result.held));
}

void ClientSession::refuse(manager::CallId call, Duration come_back_after) {
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(come_back_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  add(protocol::encode_error(call, "Shed", fields));
}

void ClientSession::fail(manager::CallId call, std::string_view why) {
  add(protocol::encode_error(call, "Fault", {{"reason", std::string(why)}}));
}

void ClientSession::answer_probe(manager::CallId call, bool able) {
  add(protocol::encode_probe_answer(call, able));
}

void ClientSession::read() {
  protocol::MsgpackReader reader;
  std::array<char, kReadBytes> bytes;
  try {
    while (const std::size_t size = socket_.read(bytes.data(), bytes.size())) {
      const Time arrived = now();
      reader.feed({bytes.data(), size});
      while (auto message = reader.next()) {
        if (std::holds_alternative<protocol::OtherNotice>(*message)) continue;
        inbox_.post(to_event(id_, std::move(*message), arrived, names_));
      }
    }
  } catch (const std::exception& problem) {
    log_.note(std::string("a client connection is closed: ") + problem.what());
  }
  break_off();
  inbox_.post(manager::Event(manager::SessionEnded{id_}));
}

void ClientSession::write() {
  while (const auto item = outbox_.take()) {
    if (!socket_.write(item->bytes)) break;
  }
  socket_.break_off();  // the reader ends too
}

}  // namespace yokestream::net
