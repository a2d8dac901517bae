// The read side of ClientSession: by the client poller's thread or by a reader thread of its own, never both.
#include <algorithm>
#include <array>
#include <system_error>

#include "net/client_call.h"
#include "net/client_session.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr int kMaxReadsPerCall = 8;
constexpr Duration kMessageTimeout = std::chrono::milliseconds(2200);  // from its first byte to its last
constexpr Duration kBackoff =
    std::chrono::milliseconds(10);  // for a credit, for the rate limiter or for memory
constexpr Duration kReaderIdleTimeout =
    std::chrono::milliseconds(1000);  // then the client poller reads it again
constexpr Duration kCloseCheckInterval =
    std::chrono::milliseconds(50);  // of a client whose reading has stopped
constexpr Duration kLastResponsesTimeout = std::chrono::milliseconds(2200);
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

// Decodes as many messages as may be queued. A malformed one stops the reading, after those ahead of it.
void ClientSession::decode_pending() try {
  while (!protocol_error_ && !messages_.is_full()) {
    auto message = reader_.next();
    if (!message) break;
    message_deadline_ = Time::max();
    if (std::holds_alternative<protocol::OtherNotice>(*message))
      protocol_error_ = "an unknown notification";
    else
      messages_.push(std::move(*message), last_read_at_);
  }
} catch (const protocol::ProtocolError& problem) {
  protocol_error_ = problem.what();
}

// Reads what lies in the socket, in a few reads: a cancellation is then often read together with its request.
// Bytes that came while nobody read may have come long ago: they count from when the socket was last empty.
ClientSession::ReadOutcome ClientSession::read_available() {
  std::array<char, kReadBytes> bytes;
  ReadOutcome outcome = ReadOutcome::would_block;
  for (int reads = 0; reads < kMaxReadsPerCall; ++reads) {
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return ReadOutcome::closed;
    if (!size) {
      unread_since_.reset();
      break;
    }
    outcome = ReadOutcome::data;
    last_read_at_ = unread_since_.value_or(now());
    reader_.feed({bytes.data(), *size});
    if (*size < bytes.size()) break;
  }
  decode_pending();
  return outcome;
}

// Failure: a client stops inside a message. Symptom: its bytes and its descriptor are held for ever.
// Guard: an absolute deadline, and a bound on what all such clients hold. (The core bounds idle time.)
// Where there is no memory for its next message a client is read again later: its open requests still need
// their responses, so its connection is not closed for that.
bool ClientSession::reserve_partial_message() {
  const std::size_t pending = reader_.pending();
  const std::size_t reserved = partial_message_reservation_.amount();
  if (pending == 0) {
    message_deadline_ = Time::max();
    partial_message_reservation_ = {};
  } else if (message_deadline_ == Time::max()) {
    message_deadline_ = last_read_at_ + kMessageTimeout;
  }
  return pending <= reserved || budget_.try_reserve(partial_message_reservation_, pending - reserved);
}

void ClientSession::post_next() {
  MessageQueue::Entry next = messages_.pop();
  inbox_.post(to_event(id_, std::move(next.message), next.arrived, settings_));
  decode_pending();
}

Pollable::PollResult ClientSession::on_ready(Time now, bool is_ready) {
  if (reading_stopped_) return wait_for_close(now);
  const PollResult result = read_and_post(now);
  const bool may_transfer = result != PollResult::closed && !reading_stopped_ && is_ready;
  return may_transfer && start_reader() ? PollResult::handed_over : result;
}

Pollable::PollResult ClientSession::back_off(Time now, Time until) {
  if (!unread_since_) unread_since_ = now;
  next_due_ = std::max(until, now + kBackoff);
  return PollResult::wait_until_due;
}

// Failure: a client floods. Symptom: the other clients of the poller wait. Guard: it is not read until it has
// a credit and the rate limiter permits. Failure: a client has closed meanwhile. Symptom: engines work for
// nobody. Guard: its messages are not posted.
Pollable::PollResult ClientSession::post_all(Time now) {
  decode_pending();
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
  has_unposted_bytes_ = true;  // before the bytes leave the socket, where abort_if_idle() sees them
  next_due_ = Time::max();
  while (true) {
    const PollResult posted = post_all(now);
    if (posted != PollResult::wait_readable) return posted;
    if (protocol_error_) return stop_reading(now, *protocol_error_);
    if (!reserve_partial_message()) {
      if (now >= message_deadline_) return stop_reading(now, "no memory for a message");
      back_off(now, now);
      next_due_ = std::min(message_deadline_, next_due_);
      return PollResult::wait_until_due;
    }
    const ReadOutcome outcome = read_available();
    if (outcome == ReadOutcome::closed) return PollResult::closed;
    if (outcome == ReadOutcome::would_block) break;
  }
  has_unposted_bytes_ = reader_.pending() > 0;
  if (now >= message_deadline_) return stop_reading(now, "stuck inside a message");
  next_due_ = message_deadline_;
  return PollResult::wait_readable;
} catch (const std::exception& problem) {
  log_.write(std::string("client connection closed: cause=\"") + problem.what() + "\"");
  close_cause_ = "a fault in what it sent";
  return PollResult::closed;
}

// Failure: a client with open requests sends something malformed. Symptom: closed at once, it loses their
// responses. Guard: nothing more is read, and the core closes the connection once all its requests are
// answered.
Pollable::PollResult ClientSession::stop_reading(Time now, const std::string& cause) {
  log_.write("client reading stopped: cause=\"" + cause + "\"");
  close_cause_ = "a fault in what it sent";
  reading_stopped_ = true;
  protocol_error_.reset();
  reader_ = {};
  partial_message_reservation_ = {};
  has_unposted_bytes_ = false;
  inbox_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

// Failure: a client never reads its last responses. Symptom: its descriptor is held for ever. Guard: they
// have kLastResponsesTimeout to be written and kLinger to reach it; then the connection is closed.
Pollable::PollResult ClientSession::wait_for_close(Time now) {
  if (socket_.aborted_locally() || socket_.peer_has_closed()) return PollResult::closed;
  if (sender_.is_closing() && close_deadline_ == Time::max()) close_deadline_ = now + kLastResponsesTimeout;
  if (sender_.is_drained()) close_deadline_ = std::min(close_deadline_, now + kLinger);
  if (now >= close_deadline_) return PollResult::closed;
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

// Failure: the machine is short of threads. Symptom: the client would lose its open requests. Guard: the
// client poller goes on reading it.
bool ClientSession::start_reader() try {
  if (results_sent_ < kBusyClientResults || !reader_pool_.reader_slots.try_reserve(reader_reservation_, 1))
    return false;
  thread_ = Thread("client-read", kSmallStack, [this] {
    bool is_idle = false;
    try {
      is_idle = run_reader();
    } catch (const std::exception& problem) {
      log_.write(std::string("client connection closed: cause=\"") + problem.what() + "\"");
      close_cause_ = "a fault in what it sent";
    }
    reader_reservation_ = {};
    if (is_idle)
      reader_pool_.client_poller.add(weak_from_this());
    else
      on_closed();
  });
  return true;
} catch (const std::system_error& problem) {
  reader_reservation_ = {};
  log_.write(std::string("client reader thread not started: cause=\"") + problem.what() + "\"");
  return false;
}

// An incomplete message, or a malformed one, stays with the session for whoever reads it next.
bool ClientSession::run_reader() {
  while (true) {
    decode_pending();
    while (!messages_.is_empty()) {
      if (!credits_.acquire()) return false;  // aborted: on_closed() reports it
      if (socket_.peer_has_closed()) return false;
      post_next();
    }
    if (protocol_error_ || !reserve_partial_message()) return true;
    has_unposted_bytes_ = reader_.pending() > 0;
    // Idle: the client poller reads it again, and enforces message_deadline_.
    const auto waited = socket_.wait_readable(std::min(message_deadline_, now() + kReaderIdleTimeout));
    if (waited != Socket::WaitResult::readable) return waited == Socket::WaitResult::timed_out;
    has_unposted_bytes_ = true;
    if (read_available() == ReadOutcome::closed) return false;
  }
}

}  // namespace yokestream::net
