#include "net/client_session.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kOutboxBytes = 256 * 1024;  // results count little here: they lie in the budget
constexpr std::size_t kMostWaiting = 16;          // messages of one client that the core has not taken yet
// For a client that was never served; 32 requests may be open, and each may be given up.
constexpr int kBurst = 64;
constexpr Duration kBetween = std::chrono::milliseconds(20);

protocol::Fields quote_fields(const queues::Quote& quote) {
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(d).count());
  };
  return {{"wait_ms", ms(quote.wait)},
          {"wait_most_ms", ms(quote.wait_most)},
          {"answer_ms", ms(quote.answer)},
          {"answer_most_ms", ms(quote.answer_most)}};
}

}  // namespace

ClientSession::ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation slot,
                             const config::RealSettings& names, dispatch::Budget& budget,
                             DispatcherQueue& inbox, Readers& readers, dispatch::Log& log)
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
    log_.write(std::string("a client connection is broken off with answers unwritten: ") + why);
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

void ClientSession::finish_if_settled() {
  if (!busy_ && !turns_.in_use()) finish();
}

// Guards against a client that does not read: its answers pile up to the bound, then its connection goes.
void ClientSession::add(std::string bytes, dispatch::Reservation held, std::size_t counted) {
  if (!sender_.add(Item{std::move(bytes), std::move(held)}, counted)) break_off("its answers are not read");
}

void ClientSession::say(std::string bytes) {
  const std::size_t size = bytes.size();
  add(std::move(bytes), {}, size);
}

void ClientSession::serve(dispatch::CallId call, dispatch::Result result) {
  ++served_;
  protocol::Fields fields;
  if (const auto it = quotes_.find(call); it != quotes_.end()) {
    fields = quote_fields(it->second);
    quotes_.erase(it);
  }
  add(protocol::encode_result(call, result.rows, fields), std::move(result.memory_reservation), sizeof(Item));
}

// Of calls that were given up nothing more is heard here: the oldest quotes go.
void ClientSession::quoted(dispatch::CallId call, const queues::Quote& quote) {
  quotes_[call] = quote;
  if (quotes_.size() > kMostQuotes) quotes_.erase(quotes_.begin());
}

void ClientSession::answer_quote(dispatch::CallId call, const queues::Quote& quote) {
  say(protocol::encode_result(call, "", quote_fields(quote)));
}

void ClientSession::refuse(dispatch::CallId call, Duration come_back_after) {
  quotes_.erase(call);
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(come_back_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  say(protocol::encode_error(call, "Shed", fields));
}

void ClientSession::fail(dispatch::CallId call, std::string_view why) {
  quotes_.erase(call);
  say(protocol::encode_error(call, "Fault", {{"reason", std::string(why)}}));
}

void ClientSession::answer_probe(dispatch::CallId call, bool able) {
  say(protocol::encode_probe_answer(call, able));
}

void ClientSession::end() {
  const char* why = socket_.broken_off_here() ? "broken off here" : ending_;
  break_off(why);
  inbox_.post(dispatch::Event(dispatch::SessionClosed{id_, why}));
}

}  // namespace yokestream::net
