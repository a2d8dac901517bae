#include "net/client_session.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kMaxQueuedBytes =
    256 * 1024;  // results count little: their memory is reserved in the budget
constexpr std::size_t kMaxUnhandledMessages = 16;  // of one client, on their way to the core
// For a client that has had no result yet; 32 requests may be open, and each may be cancelled.
constexpr int kBurstMessages = 64;
constexpr Duration kMessageInterval = std::chrono::milliseconds(20);

protocol::Fields quote_fields(const scheduler::Quote& quote) {
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(d).count());
  };
  return {{"wait_ms", ms(quote.wait)},
          {"wait_most_ms", ms(quote.wait_most)},
          {"answer_ms", ms(quote.answer)},
          {"answer_most_ms", ms(quote.answer_most)}};
}

}  // namespace

ClientSession::ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation connection_slot,
                             const config::RealSettings& settings, dispatch::Budget& budget,
                             DispatcherQueue& inbox, ReaderPool& reader_pool, dispatch::Log& log)
    : id_(id),
      connection_slot_(std::move(connection_slot)),
      settings_(settings),
      budget_(budget),
      inbox_(inbox),
      reader_pool_(reader_pool),
      log_(log),
      socket_(std::move(fd)),
      credits_(kMaxUnhandledMessages),
      rate_limiter_(kBurstMessages, kMessageInterval),
      sender_(
          kMaxQueuedBytes, socket_, [](const Item& item) { return item.bytes; },
          [this] {
            reader_pool_.slow_writer_poller.add(std::shared_ptr<Pollable>(shared_from_this(), &sender_));
          }) {
  sender_.open();
}

ClientSession::~ClientSession() { abort("session destroyed"); }

// Failure: a close cuts off a response. Symptom: the client never gets it, and nothing says why. Guard: the
// first abort logs its cause.
void ClientSession::abort(const char* cause) {
  if (!socket_.aborted_locally() && !sender_.is_idle())
    log_.write(std::string("client connection aborted with unwritten responses: cause=\"") + cause + "\"");
  sender_.close();
  credits_.close();
  socket_.abort();
}

// Failure: a connection is closed as idle while a request in it is unread or a response unwritten. Symptom:
// the request finds no answer. Guard: both are checked, and no read comes between check and abort.
bool ClientSession::abort_if_idle() {
  // Checked in the order in which a message passes; only this thread adds responses.
  if (!sender_.is_idle() ||
      !socket_.abort_if_nothing_unread([this] { return !has_unposted_bytes_ && !credits_.in_use(); }))
    return false;
  abort("idle");
  return true;
}

void ClientSession::close_after_writes_if_settled() {
  if (!has_unposted_bytes_ && !credits_.in_use()) close_after_writes();
}

// Failure: a client does not read. Symptom: its responses fill the memory. Guard: at the bound its connection
// is aborted.
void ClientSession::enqueue(std::string bytes, dispatch::Reservation memory_reservation,
                            std::size_t counted_bytes) {
  if (!sender_.add(Item{std::move(bytes), std::move(memory_reservation)}, counted_bytes))
    abort("responses are not read");
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

// Nothing reports the end of a cancelled call here, so the oldest quotes are dropped.
void ClientSession::attach_quote(dispatch::CallId call, const scheduler::Quote& quote) {
  attached_quotes_[call] = quote;
  if (attached_quotes_.size() > kMaxAttachedQuotes) attached_quotes_.erase(attached_quotes_.begin());
}

void ClientSession::send_quote(dispatch::CallId call, const scheduler::Quote& quote) {
  enqueue_bytes(protocol::encode_result(call, "", quote_fields(quote)));
}

void ClientSession::send_rejection(dispatch::CallId call, Duration retry_after) {
  attached_quotes_.erase(call);
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  enqueue_bytes(protocol::encode_error(call, "Shed", fields));
}

void ClientSession::send_failure(dispatch::CallId call, std::string_view cause) {
  attached_quotes_.erase(call);
  enqueue_bytes(protocol::encode_error(call, "Fault", {{"reason", std::string(cause)}}));
}

void ClientSession::send_readiness(dispatch::CallId call, bool is_ready) {
  enqueue_bytes(protocol::encode_probe_answer(call, is_ready));
}

void ClientSession::on_closed() {
  const char* cause = socket_.aborted_locally() ? "aborted locally" : close_cause_;
  abort(cause);
  inbox_.post(dispatch::Event(dispatch::SessionClosed{id_, cause}));
}

}  // namespace yokestream::net
