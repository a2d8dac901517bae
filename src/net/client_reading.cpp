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
constexpr int kMaxReadsPerCall = 8;
// A message must be complete this long after its first byte.
constexpr Duration kMessageTimeout = std::chrono::milliseconds(2200);
// The delay before a retry when a credit, the rate limiter's permission or memory is lacking.
constexpr Duration kReadBackoff = std::chrono::milliseconds(10);
// A reader thread that receives nothing for this long returns its client to the client poller.
constexpr Duration kReaderIdleTimeout = std::chrono::milliseconds(1000);
// The interval of checks whether a client that is no longer read can be closed.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kLastResponsesTimeout = std::chrono::milliseconds(2200);
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

// Decodes messages until the queue is full. A malformed message stops the reading of this client, after the
// messages before it have been posted.
void ClientSession::decode_pending() try {
  while (!protocol_error_ && !messages_.is_full()) {
    auto message = reader_.next();
    if (!message) break;
    message_deadline_ = Time::max();
    if (std::holds_alternative<protocol::OtherNotice>(*message))
      protocol_error_ = "unknown notification";
    else
      messages_.push(std::move(*message), arrival_clock_.arrived_at());
  }
} catch (const protocol::ProtocolError& error) {
  protocol_error_ = error.what();
}

// Reads what is available in a few reads, so that a cancellation is often read together with its request.
ClientSession::ReadOutcome ClientSession::read_available() {
  std::array<char, kReadBytes> bytes;
  ReadOutcome outcome = ReadOutcome::would_block;
  for (int reads = 0; reads < kMaxReadsPerCall; ++reads) {
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return ReadOutcome::closed;
    if (!size) {
      arrival_clock_.on_nothing_unread();
      break;
    }
    outcome = ReadOutcome::data;
    arrival_clock_.on_bytes_read(now());
    reader_.feed({bytes.data(), *size});
    if (*size < bytes.size()) break;
  }
  decode_pending();
  return outcome;
}

// Failure: a client stops in the middle of a message. Symptom: its bytes and its descriptor are held for
// ever. Guard: a message has an absolute deadline, and the memory of all incomplete messages is bounded. (The
// dispatcher limits the time that a connection may be idle.) A lack of memory does not close a connection,
// because its open requests still need their responses; the client is read again later.
bool ClientSession::reserve_partial_message() {
  const std::size_t pending = reader_.pending();
  const std::size_t reserved = partial_message_reservation_.amount();
  if (pending == 0) {
    message_deadline_ = Time::max();
    partial_message_reservation_ = {};
  } else if (message_deadline_ == Time::max()) {
    message_deadline_ = arrival_clock_.arrived_at() + kMessageTimeout;
  }
  return pending <= reserved || memory_budget_.try_reserve(partial_message_reservation_, pending - reserved);
}

void ClientSession::post_next() {
  MessageQueue::Entry next = messages_.pop();
  event_queue_.post(to_event(id_, std::move(next.message), next.arrived, settings_));
  decode_pending();
}

Pollable::PollResult ClientSession::on_ready(Time now, bool is_ready) {
  if (reading_stopped_) return wait_for_close(now);
  const PollResult result = read_and_post(now);
  const bool may_transfer = result != PollResult::closed && !reading_stopped_ && is_ready;
  return may_transfer && start_reader() ? PollResult::handed_over : result;
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
  // Set before the bytes leave the socket, so that abort_if_idle() never misses them.
  has_unposted_bytes_ = true;
  next_due_ = Time::max();
  while (true) {
    const PollResult posted = post_all(now);
    if (posted != PollResult::wait_readable) return posted;
    if (protocol_error_) return stop_reading(now, *protocol_error_);
    if (!reserve_partial_message()) {
      if (now >= message_deadline_) return stop_reading(now, "no memory for an incomplete message");
      back_off(now, now);
      next_due_ = std::min(message_deadline_, next_due_);
      return PollResult::wait_until_due;
    }
    const ReadOutcome outcome = read_available();
    if (outcome == ReadOutcome::closed) return PollResult::closed;
    if (outcome == ReadOutcome::would_block) break;
  }
  has_unposted_bytes_ = reader_.pending() > 0;
  if (now >= message_deadline_) return stop_reading(now, "incomplete message timed out");
  next_due_ = message_deadline_;
  return PollResult::wait_readable;
} catch (const std::exception& error) {
  log_.write(std::string("client connection closed: cause=\"") + error.what() + "\"");
  close_cause_ = "invalid message from the client";
  return PollResult::closed;
}

// Failure: a client with open requests sends a malformed message, and its connection is closed at once.
// Symptom: it loses the responses to those requests. Guard: the client is not read any more, and the
// dispatcher closes the connection once all its requests have been answered.
Pollable::PollResult ClientSession::stop_reading(Time now, const std::string& cause) {
  log_.write("client reading stopped: cause=\"" + cause +
             "\" since_assumed_arrival_ms=" + milliseconds_text(now - arrival_clock_.arrived_at()));
  close_cause_ = "invalid message from the client";
  reading_stopped_ = true;
  protocol_error_.reset();
  reader_ = {};
  partial_message_reservation_ = {};
  has_unposted_bytes_ = false;
  event_queue_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
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

// Failure: no thread can be created. Symptom: the client would lose its open requests. Guard: the client
// poller continues to read it.
bool ClientSession::start_reader() try {
  if (results_sent_ < kBusyClientMinResults || !reader_pool_.reader_slots.try_reserve(reader_reservation_, 1))
    return false;
  thread_ = Thread("client-read", kSmallStackBytes, [this] {
    bool is_idle = false;
    try {
      is_idle = run_reader();
    } catch (const std::exception& error) {
      log_.write(std::string("client connection closed: cause=\"") + error.what() + "\"");
      close_cause_ = "invalid message from the client";
    }
    reader_reservation_ = {};
    if (is_idle)
      reader_pool_.client_poller.add(weak_from_this());
    else
      on_closed();
  });
  return true;
} catch (const std::system_error& error) {
  reader_reservation_ = {};
  log_.write(std::string("client reader thread not started: cause=\"") + error.what() + "\"");
  return false;
}

// An incomplete or malformed message stays in the session, and the client poller handles it.
bool ClientSession::run_reader() {
  while (true) {
    decode_pending();
    while (!messages_.is_empty()) {
      if (!credits_.acquire()) return false;  // aborted; on_closed() reports it
      if (socket_.peer_has_closed()) return false;
      post_next();
    }
    if (protocol_error_ || !reserve_partial_message()) return true;
    has_unposted_bytes_ = reader_.pending() > 0;
    // After a pause it reads until nothing is left, so that the backlog has an end (arrival_clock.h).
    if (!arrival_clock_.may_have_backlog()) {
      // An idle client returns to the client poller, which enforces message_deadline_.
      const auto waited = socket_.wait_readable(std::min(message_deadline_, now() + kReaderIdleTimeout));
      if (waited != Socket::WaitResult::readable) return waited == Socket::WaitResult::timed_out;
    }
    has_unposted_bytes_ = true;
    if (read_available() == ReadOutcome::closed) return false;
  }
}

}  // namespace yokestream::net
