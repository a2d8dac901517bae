// Decides what becomes of each message of a ClientSession, in the order of its bytes. Runs on the thread that
// reads the session.
#include <stdexcept>

#include "net/client_call.h"
#include "net/client_session.h"

namespace yokestream::net {
namespace {

// What a decoded message holds besides its bytes: its record and those of its fields.
constexpr std::size_t kMessageOverheadBytes = 1024;

// So many refusals without a result make a client a flooding one. As many requests were accepted before.
constexpr int kFloodRefusals = 64;

// The most requests that the protocol allows on one connection.
constexpr std::size_t kMaxOpenCalls = 32;

// Messages of a client that is not answered: kMaxOpenCalls requests, their cancellations, and both once more.
constexpr int kMaxClosingMessages = 4 * static_cast<int>(kMaxOpenCalls);

// Ends the connection without a response to any of its calls.
class ReusedCallError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace

// Returns nullopt if more bytes are needed for the next message; otherwise why decoding has stopped.
//
// Failure: a client tells a wrong length, so that a part of its statement is decoded as a whole message and
// the rest as malformed bytes. Symptom: an engine runs the part, and the client is answered as if its
// statement had run. Guard: malformed bytes also end the requests that are queued before them; they fail.
std::optional<ClientSession::ReadOutcome> ClientSession::decode_pending(Time now) {
  const auto outcome = decode_messages(now);
  if (protocol_error_) fail_queued_requests("the connection's next message is malformed");
  if (!closing_) send_refusals();
  return outcome;
}

std::optional<ClientSession::ReadOutcome> ClientSession::decode_messages(Time now) try {
  while (!protocol_error_) {
    if (messages_.is_full()) return ReadOutcome::queue_full;
    if (!closing_ && !intake_limiter_.may_read(now)) return ReadOutcome::rate_limited;
    auto overhead = memory_.try_charge(kMessageOverheadBytes);
    if (!overhead && !messages_.is_empty()) return ReadOutcome::queue_full;
    const std::size_t bytes_before = reader_.pending();
    auto message = reader_.next();
    if (!message) return std::nullopt;
    ClientMemory::Charge charge = overhead ? std::move(*overhead) : memory_.charge(kMessageOverheadBytes);
    charge.take_from(input_charge_, bytes_before - reader_.pending());
    message_timeout_.reset();
    if (closing_ && ++closing_messages_ > kMaxClosingMessages) exceeds_protocol_limits_ = true;
    if (stalled_) resume();
    take_message(now, {std::move(*message), arrival_clock_.arrived_at(), std::move(charge)});
  }
  return ReadOutcome::malformed;
} catch (const protocol::ProtocolError& error) {
  protocol_error_ = error.what();
  return ReadOutcome::malformed;
}

// Failure: a client uses the number of an open call again. Symptom: two responses under one number, and one
// of them may be a result for another statement. Guard: the connection is closed, whatever the second message
// is.
void ClientSession::take_message(Time now, MessageQueue::Entry entry) {
  if (std::holds_alternative<protocol::OtherNotice>(entry.message)) {
    protocol_error_ = "unknown notification";
    return;
  }
  if (const auto* cancel = std::get_if<protocol::CancelCall>(&entry.message)) {
    const std::uint64_t call = cancel->id;
    return take_cancellation(now, call, std::move(entry));
  }
  const std::uint64_t call = *protocol::call_id(entry.message);
  if (open_calls_.contains(call)) throw ReusedCallError("call id of an open request reused");
  std::size_t open_calls = 0;
  if (accept_request(now)) {
    open_calls = open_calls_.add(call);
    messages_.push(std::move(entry));
  } else {
    refuse(call, entry.message);
    open_calls = open_calls_.size();
  }
  if (open_calls + unsent_refusals_.size() > kMaxOpenCalls) exceeds_protocol_limits_ = true;
}

bool ClientSession::accept_request(Time now) {
  if (!close_requested_) return intake_limiter_.accept(now, results_sent_ > 0);
  intake_limiter_.on_refused(now);
  return false;
}

// Failure: a cancellation waits behind other messages of its client, or a client sends cancellations at full
// speed. Symptom: an engine runs what was taken back; the dispatcher handles nothing else. Guard: the
// cancellation of an open call is posted before all requests; that of any other call is dropped.
void ClientSession::take_cancellation(Time now, dispatch::CallId call, MessageQueue::Entry entry) {
  const bool is_queued = messages_.remove_request(call);
  const bool is_open = open_calls_.remove(call);
  std::erase(unsent_refusals_, call);
  if (is_open && !is_queued) messages_.push_first(std::move(entry));
  if (!is_open) intake_limiter_.on_ignored(now, results_sent_ > 0);
}

void ClientSession::refuse(dispatch::CallId call, const protocol::ClientMessage& message) {
  if (++refused_count_ == 1)
    log_.write("client requests refused: cause=\"sent faster than a client without a result may\" " +
               describe_pending());
  if (refused_count_ >= kFloodRefusals && results_sent_ == 0 && !is_flooding_.exchange(true))
    log_.write("client connection is flooding: " + describe_pending());
  count_refusal(message);
  unsent_refusals_.push_back(call);
}

void ClientSession::count_refusal(const protocol::ClientMessage& message) {
  if (!reader_pool_.metrics) return;
  reader_pool_.metrics->count_rejection(metrics::RejectionCause::client_rate);
  const auto* call = std::get_if<protocol::Call>(&message);
  const auto query_class = call ? find_class(*call, settings_) : std::nullopt;
  if (query_class)
    reader_pool_.metrics->count_request(static_cast<std::size_t>(*query_class),
                                        metrics::RequestOutcome::rejected);
}

void ClientSession::send_refusals() {
  std::string bytes;
  for (const dispatch::CallId call : std::exchange(unsent_refusals_, {}))
    bytes += protocol::encode_error(call, "Shed", {});
  if (!bytes.empty()) enqueue_bytes(std::move(bytes));
}

// Cancellations stay queued: they take back requests that have been posted already.
void ClientSession::fail_queued_requests(std::string_view reason) {
  for (const dispatch::CallId call : messages_.remove_requests()) {
    open_calls_.remove(call);
    enqueue_bytes(protocol::encode_error(call, "Fault", {{"reason", std::string(reason)}}));
  }
}

// The message that had timed out is complete after all.
void ClientSession::resume() {
  stalled_ = false;
  close_cause_ = kClosedByClient;
  event_queue_.post(dispatch::Event(dispatch::SessionResumed{id_}));
}

}  // namespace yokestream::net
