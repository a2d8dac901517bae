// The read side of ClientSession. It runs on the client poller's thread or on the session's own reader
// thread, never on both at once.
#include <algorithm>
#include <array>
#include <system_error>

#include "net/client_call.h"
#include "net/client_session.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr int kMaxReadsPerCall = 64;
// What a decoded message holds besides its bytes: its record and those of its fields.
constexpr std::size_t kMessageOverheadBytes = 1024;
// The delay before a retry when a credit, the rate limiter's permission or memory is lacking.
constexpr Duration kReadBackoff = std::chrono::milliseconds(10);
// The interval of checks whether a client that is no longer read can be closed.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kLastResponsesTimeout = std::chrono::milliseconds(2200);
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

// Returns true if more bytes are needed for the next message; false if the queue is full, memory is lacking
// or the client is malformed.
//
// Failure: a client tells a wrong length, so that a part of its statement is decoded as a whole message and
// the rest as malformed bytes. Symptom: an engine runs the part, and the client is answered as if its
// statement had run. Guard: malformed bytes also end the requests that are queued before them; they fail.
bool ClientSession::decode_pending() {
  const bool needs_bytes = decode_messages();
  if (protocol_error_) fail_queued_requests("the connection's next message is malformed");
  return needs_bytes && !protocol_error_;
}

bool ClientSession::decode_messages() try {
  while (!protocol_error_ && !messages_.is_full()) {
    auto overhead = memory_.try_charge(kMessageOverheadBytes);
    if (!overhead && !messages_.is_empty()) return false;
    const std::size_t bytes_before = reader_.pending();
    auto message = reader_.next();
    if (!message) return true;
    ClientMemory::Charge charge = overhead ? std::move(*overhead) : memory_.charge(kMessageOverheadBytes);
    charge.take_from(input_charge_, bytes_before - reader_.pending());
    message_timeout_.reset();
    if (stalled_) resume();
    if (std::holds_alternative<protocol::OtherNotice>(*message))
      protocol_error_ = "unknown notification";
    else
      messages_.push({std::move(*message), arrival_clock_.arrived_at(), std::move(charge)});
  }
  return false;
} catch (const protocol::ProtocolError& error) {
  protocol_error_ = error.what();
  return false;
}

// Cancellations stay queued: they take back requests that have been posted already.
void ClientSession::fail_queued_requests(std::string_view reason) {
  for (const std::uint64_t id : messages_.remove_requests())
    enqueue_bytes(protocol::encode_error(id, "Fault", {{"reason", std::string(reason)}}));
}

// Reads and decodes until nothing is unread, so that what follows a request (its cancellation, malformed
// bytes, the end of the connection) is known before the request is posted.
//
// Failure: a client sends at full speed messages that never fill the queue, such as requests that it cancels.
// Symptom: the thread reads nobody else. Guard: the number of reads in one call is limited.
ClientSession::ReadOutcome ClientSession::read_ahead() {
  std::array<char, kReadBytes> bytes;
  for (int reads = 0; decode_pending(); ++reads) {
    if (reads == kMaxReadsPerCall) return ReadOutcome::read_limit;
    auto charge = memory_.try_charge(kReadBytes);
    if (!charge) return ReadOutcome::no_memory;
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return ReadOutcome::closed;
    if (!size) {
      arrival_clock_.on_nothing_unread();
      return ReadOutcome::nothing_unread;
    }
    arrival_clock_.on_bytes_read(now());
    reader_.feed({bytes.data(), *size});
    input_charge_.take_from(*charge, *size);
  }
  return ReadOutcome::queue_full;
}

void ClientSession::track_incomplete_message(Time now) {
  if (reader_.pending() == 0)
    message_timeout_.reset();
  else
    message_timeout_.on_incomplete(now, reader_.pending());
}

void ClientSession::post_next() {
  MessageQueue::Entry next = messages_.pop();
  credits_.hold(std::move(next.charge));
  event_queue_.post(to_event(id_, std::move(next.message), next.arrived, settings_));
}

Pollable::PollResult ClientSession::on_ready(Time now, bool is_ready) {
  if (stalled_ && sender_.is_closing()) stop_reading();
  if (reading_stopped_) return wait_for_close(now);
  const PollResult result = read_and_post(now);
  const bool may_transfer = result != PollResult::closed && !reading_stopped_ && is_ready;
  return may_transfer && start_reader() ? PollResult::handed_over : result;
}

// Other clients are served first.
Pollable::PollResult ClientSession::continue_later(Time now) {
  arrival_clock_.on_pause(now);
  next_due_ = now;
  return PollResult::wait_until_due;
}

Pollable::PollResult ClientSession::back_off(Time now, Time until) {
  arrival_clock_.on_pause(now);
  next_due_ = std::max(until, now + kReadBackoff);
  return PollResult::wait_until_due;
}

// Failure: a client sends messages faster than they are handled. Symptom: the poller's other clients wait.
// Guard: the client is not read until a credit is available and the rate limiter permits a message.
//
// Failure: a client has closed its connection. Symptom: engines run queries whose results nobody receives.
// Guard: its remaining messages are not posted.
Pollable::PollResult ClientSession::post_all(Time now) {
  while (!messages_.is_empty()) {
    if (socket_.peer_has_closed()) return PollResult::closed;
    const Time permitted_at = results_sent_ > 0 ? now : rate_limiter_.next_permitted(now);
    if (permitted_at > now || !credits_.try_acquire()) return back_off(now, permitted_at);
    rate_limiter_.record(now);
    post_next();
  }
  return PollResult::wait_readable;
}

Pollable::PollResult ClientSession::read_and_post(Time now) try {
  // Set before the bytes leave the socket, so that abort_if_idle() never misses them.
  has_unposted_bytes_ = true;
  next_due_ = Time::max();
  ReadOutcome outcome = ReadOutcome::queue_full;
  while (outcome == ReadOutcome::queue_full) {
    outcome = read_ahead();
    if (outcome == ReadOutcome::closed) return PollResult::closed;
    if (outcome == ReadOutcome::read_limit) return continue_later(now);
    const PollResult posted = post_all(now);
    if (posted != PollResult::wait_readable) return posted;
    if (protocol_error_) return end_reading(now, *protocol_error_);
  }
  track_incomplete_message(now);
  if (outcome == ReadOutcome::no_memory) {
    if (now >= message_timeout_.due()) return end_reading(now, "no memory for an incomplete message");
    return back_off(now, now);
  }
  has_unposted_bytes_ = reader_.pending() > 0;
  if (stalled_ || now >= message_timeout_.due()) return stall(now, "incomplete message timed out");
  next_due_ = message_timeout_.due();
  return PollResult::wait_readable;
} catch (const std::exception& error) {
  log_.write(std::string("client connection closed: cause=\"") + error.what() + "\"");
  close_cause_ = "invalid message from the client";
  return PollResult::closed;
}

// Failure: a message times out on a connection that another open request keeps open, and nothing more is read
// from it. Symptom: the rest of the message and the requests after it arrive and get no response. Guard: the
// client is read until the dispatcher closes the connection, which it does only if nothing is unread.
Pollable::PollResult ClientSession::stall(Time now, const char* cause) {
  if (!std::exchange(stalled_, true)) {
    log_.write(std::string("client message timed out: cause=\"") + cause +
               "\" since_assumed_arrival_ms=" + milliseconds_text(now - arrival_clock_.arrived_at()));
    close_cause_ = "incomplete message from the client";
    event_queue_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  }
  has_unposted_bytes_ = false;  // those of an incomplete message don't keep the connection open any more
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

// The message that had timed out is complete after all.
void ClientSession::resume() {
  stalled_ = false;
  close_cause_ = kClosedByClient;
  event_queue_.post(dispatch::Event(dispatch::SessionResumed{id_}));
}

// Failure: a client with open requests sends a malformed message, and its connection is closed at once.
// Symptom: it loses the responses to those requests. Guard: the client is not read any more, and the
// dispatcher closes the connection once all its requests have been answered.
Pollable::PollResult ClientSession::end_reading(Time now, const std::string& cause) {
  log_.write("client reading stopped: cause=\"" + cause + "\"");
  close_cause_ = "invalid message from the client";
  event_queue_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  stop_reading();
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

void ClientSession::stop_reading() {
  reading_stopped_ = true;
  protocol_error_.reset();
  reader_ = {};
  input_charge_ = {};
  has_unposted_bytes_ = false;
}

// Failure: a client never reads its last responses. Symptom: its descriptor is held for ever. Guard: the
// connection is closed after kLastResponsesTimeout, or kLingerTimeout after they have been written.
Pollable::PollResult ClientSession::wait_for_close(Time now) {
  if (socket_.aborted_locally() || socket_.peer_has_closed()) return PollResult::closed;
  if (sender_.is_closing() && close_deadline_ == Time::max()) close_deadline_ = now + kLastResponsesTimeout;
  if (sender_.is_drained()) close_deadline_ = std::min(close_deadline_, now + kLingerTimeout);
  if (now >= close_deadline_) return PollResult::closed;
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

}  // namespace yokestream::net
