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
constexpr std::size_t kOrdinaryMessageBytes = 8 * 1024;
constexpr std::size_t kMaxMessageBytes = protocol::MsgpackReader::Bounds{}.message_bytes;
// The delay before a retry when a credit or memory is lacking.
constexpr Duration kReadBackoff = std::chrono::milliseconds(10);
// The interval of checks whether a client that is no longer read can be closed.
constexpr Duration kCloseCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kLastResponsesTimeout = std::chrono::milliseconds(2200);
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);

std::string milliseconds_text(Duration duration) {
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

// Reads and decodes until nothing is unread, so that what follows a request (its cancellation, malformed
// bytes, the end of the connection) is known before the request is posted.
//
// Failure: a client sends at full speed messages that never fill the queue, such as requests that it cancels.
// Symptom: the thread reads nobody else. Guard: the number of reads in one call is limited.
ClientSession::ReadOutcome ClientSession::read_ahead(Time now) {
  std::array<char, kReadBytes> bytes;
  for (int reads = 0; reads < kMaxReadsPerCall; ++reads) {
    if (const auto decoded = decode_pending(now)) return *decoded;
    if (!reserve_input()) return ReadOutcome::no_memory;
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return ReadOutcome::closed;
    if (!size) {
      arrival_clock_.on_nothing_unread();
      intake_limiter_.on_nothing_unread();
      return ReadOutcome::nothing_unread;
    }
    arrival_clock_.on_bytes_read(net::now());
    reader_.feed({bytes.data(), *size});
  }
  return ReadOutcome::read_limit;
}

// Reserves memory for the next read.
//
// Failure: many clients each hold a part of a large message, and together all of the budget. Symptom: none of
// the messages gets complete. Guard: what exceeds an ordinary message is read only once memory for the
// largest one is reserved, so each client that has some can finish.
bool ClientSession::reserve_input() {
  const std::size_t needed = reader_.pending() + kReadBytes;
  if (needed <= input_charge_.amount()) return true;
  const std::size_t target = needed <= kOrdinaryMessageBytes ? needed : kMaxMessageBytes + kReadBytes;
  auto charge = memory_.try_charge(target - input_charge_.amount());
  if (!charge) return false;
  input_charge_.take_from(*charge, charge->amount());
  return true;
}

void ClientSession::release_spare_input() {
  if (reader_.pending() + kReadBytes <= kOrdinaryMessageBytes) input_charge_.shrink_to(reader_.pending());
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
  const bool is_closing = stalled_ ? sender_.is_closing() : sender_.is_drained();
  if (is_closing && !reading_stopped_) stop_reading();
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
// Guard: its messages wait until a credit is available.
//
// Failure: a client has closed its connection. Symptom: engines run queries whose results nobody receives.
// Guard: its remaining messages are not posted.
Pollable::PollResult ClientSession::post_all(Time now) {
  while (!messages_.is_empty()) {
    if (socket_.peer_has_closed()) return PollResult::closed;
    if (!credits_.try_acquire()) return back_off(now, now);
    post_next();
  }
  return PollResult::wait_readable;
}

Pollable::PollResult ClientSession::read_and_post(Time now) try {
  // Set before the bytes leave the socket, so that close_if_idle() never misses them.
  has_unposted_bytes_ = true;
  next_due_ = Time::max();
  ReadOutcome outcome = ReadOutcome::queue_full;
  while (outcome == ReadOutcome::queue_full) {
    update_closing();
    outcome = read_ahead(now);
    release_spare_input();
    if (outcome == ReadOutcome::closed) return PollResult::closed;
    const bool is_settled = outcome == ReadOutcome::nothing_unread && reader_.pending() == 0;
    if (closing_ && (is_settled || exceeds_protocol_limits_)) return finish_closing(now);
    if (outcome == ReadOutcome::read_limit) return continue_later(now);
    send_refusals();
    const PollResult posted = post_all(now);
    if (posted != PollResult::wait_readable) return posted;
    if (protocol_error_) return end_reading(now, *protocol_error_);
    if (outcome == ReadOutcome::rate_limited) return back_off(now, intake_limiter_.next_read(now));
  }
  track_incomplete_message(now);
  if (outcome == ReadOutcome::no_memory) {
    if (socket_.peer_has_closed()) return PollResult::closed;
    message_timeout_.restart(now);
    if (!std::exchange(memory_wait_logged_, true))
      log_.write("client not read: cause=\"no memory for its input\" unread_message_bytes=" +
                 std::to_string(reader_.pending()));
    return back_off(now, now);
  }
  has_unposted_bytes_ = reader_.pending() > 0;
  if (stalled_ || now >= message_timeout_.due()) return stall(now, "incomplete message timed out");
  next_due_ = message_timeout_.due();
  return PollResult::wait_readable;
} catch (const std::exception& error) {
  log_.write(std::string("client connection closed: cause=\"") + error.what() + "\" " + describe_pending());
  close_cause_ = "invalid message from the client";
  return PollResult::closed;
}

// Failure: a message times out on a connection that another open request keeps open, and nothing more is read
// from it. Symptom: the rest of the message and the requests after it arrive and get no response. Guard: the
// client is read until the dispatcher closes the connection, which it does only if nothing is unread.
Pollable::PollResult ClientSession::stall(Time now, const char* cause) {
  if (!std::exchange(stalled_, true)) {
    log_.write(std::string("client message timed out: cause=\"") + cause + "\" since_assumed_arrival_ms=" +
               milliseconds_text(now - arrival_clock_.arrived_at()) + " " + describe_pending());
    close_cause_ = "incomplete message from the client";
    event_queue_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  }
  has_unposted_bytes_ = false;  // those of an incomplete message don't keep the connection open any more
  next_due_ = now + kCloseCheckInterval;
  return PollResult::wait_until_due;
}

void ClientSession::update_closing() {
  const bool closing = close_requested_ && messages_.is_empty() && open_calls_.size() == 0;
  if (!closing) closing_messages_ = 0;
  closing_ = closing;
}

// Failure: a connection is closed by a thread that cannot know what its client has just written. Symptom: a
// request that was taken gets no response. Guard: the thread that reads the client closes it, right after a
// read has found nothing and while no call is open; only requests that cross the close are left. A client
// that has sent more than the protocol allows is not read further, but what was read of it is refused.
Pollable::PollResult ClientSession::finish_closing(Time now) {
  log_.write("client connection closing: cause=\"no request open\" " + describe_pending() +
             " refused_at_close=" + std::to_string(unsent_refusals_.size()));
  send_refusals();
  close_after_writes();
  close_cause_ = "closed while no request was open";
  stop_reading();
  return wait_for_close(now);
}

// Failure: a client with open requests sends a malformed message, and its connection is closed at once.
// Symptom: it loses the responses to those requests. Guard: the client is not read any more, and the
// dispatcher closes the connection once all its requests have been answered.
Pollable::PollResult ClientSession::end_reading(Time now, const std::string& cause) {
  log_.write("client reading stopped: cause=\"" + cause + "\" " + describe_pending());
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
