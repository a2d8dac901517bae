#include "net/client_session.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

#include "statement/table_group.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr std::size_t kOutboxBytes = 256 * 1024;  // results count little here: they lie in the budget
constexpr std::size_t kMostWaiting = 16;          // messages of one client that the core has not taken yet
constexpr Duration kMessageWithin = std::chrono::milliseconds(2200);  // from its first byte to its last
// For a client that was never served; 32 requests may be open, and each may be given up.
constexpr int kBurst = 64;
constexpr Duration kBetween = std::chrono::milliseconds(20);
constexpr Duration kLookAgain = std::chrono::milliseconds(10);     // for a turn, or for the core to take some
constexpr Duration kReaderIdle = std::chrono::milliseconds(1000);  // then a reader of its own is too much
constexpr double kMostWorkMs = 1e7;                                // hours
constexpr double kMostMemoryMb = 1e7;                              // of the largest machines
constexpr Duration kClockSlack = std::chrono::seconds(1);  // by which a client may wait longer than its class

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

// Guards the connections to engines: what an engine can't read ends all that runs on its connection.
bool is_statement(std::string_view text) {
  return !text.empty() && std::none_of(text.begin(), text.end(), [](unsigned char c) {
    return (c < 0x20 && c != '\t' && c != '\n' && c != '\r') || c == 0x7f;
  });
}

bool is_request_id(const std::string& text) {
  return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

protocol::Fields quote_fields(const queues::Quote& quote) {
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(d).count());
  };
  return {{"wait_ms", ms(quote.wait)},
          {"wait_most_ms", ms(quote.wait_most)},
          {"answer_ms", ms(quote.answer)},
          {"answer_most_ms", ms(quote.answer_most)}};
}

// `quote` is a call that is not served: its class comes as a field, all else as in the call itself.
bool is_quote(protocol::Call& call, const config::RealSettings& names) {
  if (!names.quote_method || call.method != "quote") return false;
  const auto* cls = field(call, "class");
  call.method = cls ? *cls : "";
  return true;
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
  const Duration most = names.deadlines[static_cast<std::size_t>(out.cls)] + kClockSlack;
  if (!left || *left <= 0 || *left * 1e6 > static_cast<double>(most.count())) return bad("bad field timeout");
  out.deadline = arrived + Duration(static_cast<Duration::rep>(*left * 1e6));
  if (!names.tenants.empty()) {
    const auto* owner = field(call, "owner");
    const auto tenant = owner ? position<lynxstand::TenantId>(names.tenants, *owner) : std::nullopt;
    if (!tenant) return bad("unknown owner");
    out.tenant = *tenant;
  }
  if (const auto* ms = field(call, "ms")) {
    const auto work = real(*ms);
    if (!work || *work < 0 || *work > kMostWorkMs) return bad("bad field ms");
    if (*work > 0) out.work = Duration(static_cast<Duration::rep>(*work * 1e6));
  }
  if (const auto* mb = field(call, "mb")) {
    const auto memory = real(*mb);
    if (!memory || *memory < 0 || *memory > kMostMemoryMb) return bad("bad field mb");
    out.memory_mb = *memory;
  }
  if (!is_statement(call.body)) return bad("the statement is no text");
  const auto* resent = field(call, "resent");
  out.repeat = resent && (*resent == "1" || *resent == "true");
  out.tables = lynxstand::TableGroupId{statement::table_group(call.body).value_or(0)};
  out.statement = std::move(call.body);
  return out;
}

}  // namespace

manager::Event to_event(manager::SessionId session, protocol::ClientMessage message, Time arrived,
                        const config::RealSettings& names) {
  if (auto* call = std::get_if<protocol::Call>(&message)) {
    const bool quote = is_quote(*call, names);
    manager::Event event = call_event(session, std::move(*call), arrived, names);
    if (!quote) return event;
    if (auto* request = std::get_if<manager::Arrived>(&event))
      return manager::QuoteAsked{std::move(*request)};
    return event;
  }
  if (const auto* probe = std::get_if<protocol::Probe>(&message))
    return manager::ProbeAsked{session, probe->id};
  if (const auto* bad = std::get_if<protocol::BadCall>(&message))
    return manager::BadRequest{session, bad->id, bad->problem};
  return manager::GaveUp{session, std::get<protocol::GiveUp>(message).id};
}

ClientSession::ClientSession(manager::SessionId id, Fd fd, manager::Reservation slot,
                             const config::RealSettings& names, manager::Budget& budget, Inbox& inbox,
                             Readers& readers, manager::Log& log)
    : id_(id),
      slot_(std::move(slot)),
      names_(names),
      budget_(budget),
      inbox_(inbox),
      readers_(readers),
      log_(log),
      socket_(std::move(fd)),
      turns_(kMostWaiting),
      pace_(kBurst, kBetween),
      sender_(
          kOutboxBytes, socket_, [](const Item& item) { return item.bytes; },
          [this] { readers_.writer.admit(std::shared_ptr<Watched>(shared_from_this(), &sender_)); }) {
  sender_.open();
}

ClientSession::~ClientSession() { break_off("its session is gone"); }

// Guards the finding of a cause: an answer that a close cuts off is a lost answer for the client. Told once,
// by whoever breaks it off first.
void ClientSession::break_off(const char* why) {
  if (!socket_.broken_off_here() && !sender_.idle())
    log_.note(std::string("a client connection is broken off with answers unwritten: ") + why);
  sender_.close();
  turns_.close();
  socket_.break_off();
}

// Guards a request that came while the core was busy, and an answer that is not written yet: they must not be
// closed upon as if nothing were open.
bool ClientSession::break_off_idle() {
  // In the order in which a message passes; only this thread adds answers.
  if (!sender_.idle() || !socket_.break_off_unread([this] { return !busy_ && !turns_.in_use(); }))
    return false;
  break_off("idle");
  return true;
}

// Guards against a client that does not read: its answers pile up to the bound, then its connection goes.
void ClientSession::add(std::string bytes, manager::Reservation held, std::size_t counted) {
  if (!sender_.add(Item{std::move(bytes), std::move(held)}, counted)) break_off("its answers are not read");
}

void ClientSession::say(std::string bytes) {
  const std::size_t size = bytes.size();
  add(std::move(bytes), {}, size);
}

void ClientSession::serve(manager::CallId call, manager::Result result) {
  ++served_;
  protocol::Fields fields;
  if (const auto it = quotes_.find(call); it != quotes_.end()) {
    fields = quote_fields(it->second);
    quotes_.erase(it);
  }
  add(protocol::encode_result(call, result.rows, fields), std::move(result.held), sizeof(Item));
}

// Of calls that were given up nothing more is heard here: the oldest quotes go.
void ClientSession::quoted(manager::CallId call, const queues::Quote& quote) {
  quotes_[call] = quote;
  if (quotes_.size() > kMostQuotes) quotes_.erase(quotes_.begin());
}

void ClientSession::answer_quote(manager::CallId call, const queues::Quote& quote) {
  say(protocol::encode_result(call, "", quote_fields(quote)));
}

void ClientSession::refuse(manager::CallId call, Duration come_back_after) {
  quotes_.erase(call);
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(come_back_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  say(protocol::encode_error(call, "Shed", fields));
}

void ClientSession::fail(manager::CallId call, std::string_view why) {
  quotes_.erase(call);
  say(protocol::encode_error(call, "Fault", {{"reason", std::string(why)}}));
}

void ClientSession::answer_probe(manager::CallId call, bool able) {
  say(protocol::encode_probe_answer(call, able));
}

void ClientSession::end() {
  const char* why = socket_.broken_off_here() ? "broken off here" : ending_;
  break_off(why);
  inbox_.post(manager::Event(manager::SessionEnded{id_, why}));
}

void ClientSession::decode(std::string_view bytes, Time arrived) {
  arrived_ = arrived;
  reader_.feed(bytes);
}

// A client that is stuck inside a message holds its bytes and its descriptor: it has until an absolute
// deadline to finish, and what all such clients hold together is bounded. Time with nothing open is bounded
// by the core.
// Where there is no memory for its next message a client is read on later: what it has open is owed answers,
// so its connection is not closed for that.
bool ClientSession::bound_rest() {
  const std::size_t pending = reader_.pending(), held = buffered_.bytes();
  if (pending == 0)
    whole_by_ = Time::max(), buffered_ = {};
  else if (whole_by_ == Time::max())
    whole_by_ = arrived_ + kMessageWithin;
  return pending <= held || budget_.take(buffered_, pending - held);
}

void ClientSession::hand_in(protocol::ClientMessage message) {
  if (std::holds_alternative<protocol::OtherNotice>(message))
    throw protocol::ProtocolError("an unknown notification");
  whole_by_ = Time::max();
  inbox_.post(to_event(id_, std::move(message), arrived_, names_));
}

Watched::Look ClientSession::look(Time now, bool asked) {
  const Look look = read_now(now);
  return look != Look::ended && asked && start_reader() ? Look::taken : look;
}

Watched::Look ClientSession::read_now(Time now) try {
  std::array<char, kReadBytes> bytes;
  busy_ = true;  // before the bytes leave the socket, where break_off_idle() sees them
  due_ = Time::max();
  while (true) {
    while (true) {
      if (!waiting_ && !(waiting_ = reader_.next())) break;
      // Guards all others in the lobby: one who floods is not read until its turn comes.
      const Time turn = served_ > 0 ? now : pace_.next_at(now);
      if (turn > now || !turns_.try_take()) {
        due_ = std::max(turn, now + kLookAgain);
        return Look::later;
      }
      pace_.took(now);
      hand_in(std::move(*std::exchange(waiting_, std::nullopt)));
    }
    if (!bound_rest()) {
      if (now >= whole_by_) throw protocol::ProtocolError("no memory for a message");
      due_ = std::min(whole_by_, now + kLookAgain);
      return Look::later;
    }
    const auto size = socket_.read_now(bytes.data(), bytes.size());
    if (size == 0) return Look::ended;
    if (!size) break;
    decode({bytes.data(), *size}, net::now());
  }
  busy_ = reader_.pending() > 0;
  if (now >= whole_by_) throw protocol::ProtocolError("stuck inside a message");
  due_ = whole_by_;
  return Look::again;
} catch (const std::exception& problem) {
  log_.note(std::string("a client connection is closed: ") + problem.what());
  ending_ = "a fault in what it sent";
  return Look::ended;
}

// Guards against a machine that is short of threads: the client loses nothing, the lobby goes on reading it.
bool ClientSession::start_reader() try {
  if (served_ < kServedOften || !readers_.places.take(place_, 1)) return false;
  thread_ = Thread("client-read", kSmallStack, [this] {
    bool idled = false;
    try {
      idled = read_busy();
    } catch (const std::exception& problem) {
      log_.note(std::string("a client connection is closed: ") + problem.what());
      ending_ = "a fault in what it sent";
    }
    place_ = {};
    idled ? readers_.lobby.admit(weak_from_this()) : end();
  });
  return true;
} catch (const std::system_error& problem) {
  place_ = {};
  log_.note(std::string("a client gets no reader of its own: ") + problem.what());
  return false;
}

// What is not whole, or has no turn, stays with the session for whoever reads it next.
bool ClientSession::read_busy() {
  std::array<char, kReadBytes> bytes;
  while (true) {
    while (waiting_ || (waiting_ = reader_.next())) {
      if (!turns_.take()) return false;  // broken off: end() tells so
      hand_in(std::move(*std::exchange(waiting_, std::nullopt)));
    }
    if (!bound_rest()) return true;
    busy_ = reader_.pending() > 0;
    // Silent: the lobby reads it on, and sees to it that what has begun is whole in time.
    const auto waited = socket_.wait_until(std::min(whole_by_, now() + kReaderIdle));
    if (waited != Socket::Waited::something) return waited == Socket::Waited::nothing;
    busy_ = true;
    const auto size = socket_.read_now(bytes.data(), bytes.size());
    if (size == 0) return false;
    if (size) decode({bytes.data(), *size}, now());
  }
}

}  // namespace yokestream::net
