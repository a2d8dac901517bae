#include "net/client_session.h"

namespace yokestream::net {
namespace {

// Bounds the queued responses of one client, except for results, which the memory budget bounds.
constexpr std::size_t kMaxQueuedBytes = 256 * 1024;
// What a client may make this process hold when the budget of all clients is used up: a few ordinary requests
// and their responses.
constexpr std::size_t kMemoryAllowanceBytes = 16 * 1024;
// What a queued response holds besides its bytes.
constexpr std::size_t kResponseOverheadBytes = 128;
constexpr const char* kResponsesUnread = "client does not read its responses";
// Bounds the messages of one client that are posted and not yet handled by the dispatcher.
constexpr std::size_t kMaxUnhandledMessages = 16;
protocol::Fields quote_fields(const scheduler::WaitEstimate& quote) {
  const auto ms = [](Duration d) {
    return std::to_string(std::chrono::ceil<std::chrono::milliseconds>(d).count());
  };
  return {{"wait_ms", ms(quote.wait)},
          {"wait_most_ms", ms(quote.wait_p90)},
          {"answer_ms", ms(quote.response)},
          {"answer_most_ms", ms(quote.response_p90)}};
}

}  // namespace

ClientSession::ClientSession(dispatch::SessionId id, Fd fd, dispatch::Reservation connection_slot,
                             const config::RealSettings& settings, dispatch::Budget& client_memory_budget,
                             DispatcherQueue& event_queue, ReaderPool& reader_pool, dispatch::Log& log)
    : id_(id),
      connection_slot_(std::move(connection_slot)),
      settings_(settings),
      event_queue_(event_queue),
      reader_pool_(reader_pool),
      log_(log),
      socket_(std::move(fd)),
      memory_(client_memory_budget, kMemoryAllowanceBytes),
      credits_(kMaxUnhandledMessages),
      sender_(
          kMaxQueuedBytes, socket_, [](const Item& item) { return item.bytes; },
          [this] {
            reader_pool_.slow_writer_poller.add(std::shared_ptr<Pollable>(shared_from_this(), &sender_));
          }) {
  sender_.open();
}

ClientSession::~ClientSession() { abort("session destroyed"); }

std::string ClientSession::describe_pending() {
  return "session=" + std::to_string(static_cast<std::uint64_t>(id_)) +
         " open_calls=" + std::to_string(open_calls_.size()) +
         " unread_bytes=" + std::to_string(socket_.unread_bytes()) +
         " unposted=" + std::to_string(has_unposted_bytes_) +
         " unhandled=" + std::to_string(credits_.in_use()) +
         " unwritten=" + std::to_string(!sender_.is_idle()) + " results=" + std::to_string(results_sent_) +
         " refused=" + std::to_string(refused_count_);
}

// After the write side has been shut down, unread bytes are requests that crossed the close.
bool ClientSession::has_pending_requests() {
  if (open_calls_.size() > 0) return true;
  return !sender_.is_drained() && has_unhandled_input();
}

// The checks follow a message's path: socket, decoder, event queue.
bool ClientSession::has_unhandled_input() {
  return socket_.has_unread_bytes() || has_unposted_bytes_ || credits_.in_use();
}

// Failure: an abort drops an unwritten response or a request. Symptom: the client never receives a response,
// and no log line tells why. Guard: the first abort logs its cause.
void ClientSession::log_close(const char* cause) {
  const bool is_unwritten = !sender_.is_idle();
  closed_with_pending_requests_ = !socket_.peer_has_closed() && has_pending_requests();
  if (!is_unwritten && !closed_with_pending_requests_) return;
  const std::string details = std::string(": cause=\"") + cause + "\" " + describe_pending();
  if (is_unwritten) log_.write("client connection aborted with unwritten responses" + details);
  if (!closed_with_pending_requests_) return;
  log_.write("client connection closed with pending requests" + details);
}

void ClientSession::abort(const char* cause) {
  if (!socket_.aborted_locally()) log_close(cause);
  sender_.close();
  credits_.close();
  socket_.abort();
}

// Failure: a connection is closed as idle while it holds an unread request or an unwritten response. Symptom:
// the request gets no response. Guard: both are checked, and nothing is read between check and close.
//
// Failure: a request arrives right after its connection was closed as idle, and the kernel resets the
// connection. Symptom: the client loses the response that was written just before. Guard: only the write side
// is shut down, and the connection is kept until the client closes it, or for a limited time
// (wait_for_close()).
//
// Failure: clients that repeat each refused request at once always have unread ones. Symptom: none of them is
// ever closed, and no other client can connect. Guard: such a client is closed by the thread that reads it
// (close_when_settled()), at once only if it has more requests open than the protocol allows.
bool ClientSession::close_if_idle() {
  // The checks follow a message's path: socket, decoder, event queue. Only this thread adds responses.
  const bool is_idle = sender_.is_idle() && socket_.shutdown_write_if_nothing_unread([this] {
    return !has_unposted_bytes_ && !credits_.in_use();
  });
  if (is_idle) {
    close_after_writes();
    reader_pool_.client_poller.prompt(weak_from_this());
    return true;
  }
  if (!is_flooding_) return false;
  if (exceeds_protocol_limits_) {
    abort(kProtocolLimits);
    return true;
  }
  close_when_settled();
  return false;
}

void ClientSession::close_after_writes_if_settled() {
  close_when_settled();
  if (!has_unhandled_input()) close_after_writes();
}

bool ClientSession::close_after_writes_if_nothing_unread() {
  if (!reading_stopped_ && has_unhandled_input()) return false;
  close_after_writes();
  return true;
}

// Failure: a client does not read its responses. Symptom: they use up the memory. Guard: its connection is
// aborted when its queue is full.
void ClientSession::respond(dispatch::CallId call, Item item, std::size_t counted_bytes) {
  bool is_queued = false;
  open_calls_.answer(call, [&] { is_queued = sender_.add(std::move(item), counted_bytes); });
  if (!is_queued) abort(kResponsesUnread);
}

void ClientSession::respond(dispatch::CallId call, std::string bytes) {
  const std::size_t size = bytes.size();
  respond(call, item_of(std::move(bytes)), size);
}

void ClientSession::enqueue_bytes(std::string bytes) {
  const std::size_t size = bytes.size();
  if (!sender_.add(item_of(std::move(bytes)), size)) abort(kResponsesUnread);
}

ClientSession::Item ClientSession::item_of(std::string bytes) {
  const std::size_t size = bytes.size();
  return Item{std::move(bytes), {}, memory_.charge(size + kResponseOverheadBytes)};
}

void ClientSession::send_result(dispatch::CallId call, dispatch::Result result) {
  ++results_sent_;
  memory_.on_served();
  is_flooding_ = false;
  close_requested_ = false;
  protocol::Fields fields;
  if (const auto it = attached_quotes_.find(call); it != attached_quotes_.end()) {
    fields = quote_fields(it->second);
    attached_quotes_.erase(it);
  }
  respond(call,
          Item{protocol::encode_result(call, result.rows, fields), std::move(result.memory_reservation), {}},
          sizeof(Item));
}

// The session is not told when a cancelled call ends, so the oldest quotes are dropped.
void ClientSession::attach_quote(dispatch::CallId call, const scheduler::WaitEstimate& quote) {
  attached_quotes_[call] = quote;
  if (attached_quotes_.size() > kMaxAttachedQuotes) attached_quotes_.erase(attached_quotes_.begin());
}

void ClientSession::send_quote(dispatch::CallId call, const scheduler::WaitEstimate& quote) {
  respond(call, protocol::encode_result(call, "", quote_fields(quote)));
}

void ClientSession::send_rejection(dispatch::CallId call, Duration retry_after) {
  attached_quotes_.erase(call);
  protocol::Fields fields;
  const auto ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  if (ms > 0) fields.emplace("holdoff", std::to_string(ms));
  respond(call, protocol::encode_error(call, "Shed", fields));
}

void ClientSession::send_failure(dispatch::CallId call, std::string_view cause) {
  attached_quotes_.erase(call);
  respond(call, protocol::encode_error(call, "Fault", {{"reason", std::string(cause)}}));
}

void ClientSession::send_readiness(dispatch::CallId call, bool is_ready) {
  respond(call, protocol::encode_probe_answer(call, is_ready));
}

void ClientSession::on_closed() {
  const char* cause = socket_.aborted_locally() ? "aborted locally" : close_cause_;
  abort(cause);
  event_queue_.post(dispatch::Event(dispatch::SessionClosed{id_, cause, closed_with_pending_requests_}));
}

}  // namespace yokestream::net
