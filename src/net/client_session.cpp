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
                             const config::RealSettings& names, dispatch::Budget& budget, Inbox& inbox,
                             ReaderPool& readers, dispatch::Log& log)
    : id_(id),
      connection_slot_(std::move(slot)),
      settings_(names),
      budget_(budget),
      inbox_(inbox),
      reader_pool_(readers),
      log_(log),
      socket_(std::move(fd)),
      credits_(kMostWaiting),
      rate_limiter_(kBurst, kBetween),
      sender_(
          kOutboxBytes, socket_, [](const Item& item) { return item.bytes; },
          [this] {
            reader_pool_.slow_writer_poller.add(std::shared_ptr<Pollable>(shared_from_this(), &sender_));
          }) {
  sender_.open();
}

ClientSession::~ClientSession() { abort("its session is gone"); }

// Guards the finding of a cause: an answer that a close cuts off is a lost answer for the client. Told once,
// by whoever breaks it off first.
void ClientSession::abort(const char* why) {
  if (!socket_.aborted_locally() && !sender_.is_idle())
    log_.write(std::string("a client connection is broken off with answers unwritten: ") + why);
  sender_.close();
  credits_.close();
  socket_.abort();
}

// Guards a request that came while the core was busy, and an answer that is not written yet: they must not be
// closed upon as if nothing were open.
bool ClientSession::abort_if_idle() {
  // In the order in which a message passes; only this thread adds answers.
  if (!sender_.is_idle() ||
      !socket_.abort_if_nothing_unread([this] { return !has_unposted_bytes_ && !credits_.in_use(); }))
    return false;
  abort("idle");
  return true;
}

void ClientSession::close_after_writes_if_settled() {
  if (!has_unposted_bytes_ && !credits_.in_use()) close_after_writes();
}

// Guards against a client that does not read: its answers pile up to the bound, then its connection goes.
void ClientSession::enqueue(std::string bytes, dispatch::Reservation held, std::size_t counted) {
  if (!sender_.add(Item{std::move(bytes), std::move(held)}, counted)) abort("its answers are not read");
}

void ClientSession::enqueue_bytes(std::string bytes) {
  const std::size_t size = bytes.size();
  enqueue(std::move(bytes), {}, size);
}

void ClientSession::send_result(dispatch::CallId call, dispatch::Result result) {
  ++results_sent_;
  protocol::Fields fields;
  if (const auto it = attached_quotes_.find(call); it != attached_quotes_.end()) {
    fields = quote_fields(it->second);
    attached_quotes_.erase(it);
  }
  enqueue(protocol::encode_result(call, result.rows, fields), std::move(result.memory_reservation),
          sizeof(Item));
}

// Of calls that were given up nothing more is heard here: the oldest quotes go.
void ClientSession::attach_quote(dispatch::CallId call, const queues::Quote& quote) {
  attached_quotes_[call] = quote;
  if (attached_quotes_.size() > kMaxAttachedQuotes) attached_quotes_.erase(attached_quotes_.begin());
}

void ClientSession::send_quote(dispatch::CallId call, const queues::Quote& quote) {
  enqueue_bytes(protocol::encode_result(call, "", quote_fields(quote)));
}

void ClientSession::send_rejection(dispatch::CallId call, Duration come_back_after) {
  attached_quotes_.erase(call);
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(come_back_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  enqueue_bytes(protocol::encode_error(call, "Shed", fields));
}

void ClientSession::send_failure(dispatch::CallId call, std::string_view why) {
  attached_quotes_.erase(call);
  enqueue_bytes(protocol::encode_error(call, "Fault", {{"reason", std::string(why)}}));
}

void ClientSession::send_readiness(dispatch::CallId call, bool able) {
  enqueue_bytes(protocol::encode_probe_answer(call, able));
}

void ClientSession::on_closed() {
  const char* why = socket_.aborted_locally() ? "broken off here" : close_cause_;
  abort(why);
  inbox_.post(dispatch::Event(dispatch::SessionClosed{id_, why}));
}

}  // namespace yokestream::net
