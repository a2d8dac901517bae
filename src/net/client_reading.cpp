// How a client is read: by the lobby's thread or by a reader of its own, never by both.
#include <algorithm>
#include <array>
#include <system_error>

#include "net/client_call.h"
#include "net/client_session.h"

namespace yokestream::net {
namespace {

constexpr std::size_t kReadBytes = 4 * 1024;
constexpr int kReadsAtOnce = 8;
constexpr Duration kMessageWithin = std::chrono::milliseconds(2200);  // from its first byte to its last
constexpr Duration kLookAgain = std::chrono::milliseconds(10);     // for a turn, or for the core to take some
constexpr Duration kReaderIdle = std::chrono::milliseconds(1000);  // then a reader of its own is too much
constexpr Duration kEndLooks = std::chrono::milliseconds(50);      // at a client that is read no more
constexpr Duration kLastAnswers = std::chrono::milliseconds(2200);
constexpr Duration kLinger = std::chrono::milliseconds(500);

}  // namespace

// Of what was read last: as many messages as may wait here. What makes no sense ends the reading, after the
// messages ahead of it.
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

// What lies in the socket, and no more than a few reads of it: a client's word that it gives a request up is
// then often read together with the request. What came while nobody read may have come long ago: it counts
// from when the socket was last seen empty.
ClientSession::ReadOutcome ClientSession::read_available() {
  std::array<char, kReadBytes> bytes;
  ReadOutcome came = ReadOutcome::would_block;
  for (int reads = 0; reads < kReadsAtOnce; ++reads) {
    const auto size = socket_.try_read(bytes.data(), bytes.size());
    if (size == 0) return ReadOutcome::closed;
    if (!size) {
      unread_since_.reset();
      break;
    }
    came = ReadOutcome::data;
    last_read_at_ = unread_since_.value_or(now());
    reader_.feed({bytes.data(), *size});
    if (*size < bytes.size()) break;
  }
  decode_pending();
  return came;
}

// A client that is stuck inside a message holds its bytes and its descriptor: it has until an absolute
// deadline to finish, and what all such clients hold together is bounded. Time with nothing open is bounded
// by the core.
// Where there is no memory for its next message a client is read on later: what it has open is owed answers,
// so its connection is not closed for that.
bool ClientSession::reserve_partial_message() {
  const std::size_t pending = reader_.pending(), held = partial_message_reservation_.bytes();
  if (pending == 0)
    message_deadline_ = Time::max(), partial_message_reservation_ = {};
  else if (message_deadline_ == Time::max())
    message_deadline_ = last_read_at_ + kMessageWithin;
  return pending <= held || budget_.try_reserve(partial_message_reservation_, pending - held);
}

void ClientSession::post_next() {
  MessageQueue::Entry next = messages_.pop();
  inbox_.post(to_event(id_, std::move(next.message), next.arrived, settings_));
  decode_pending();
}

Pollable::PollResult ClientSession::on_ready(Time now, bool asked) {
  if (reading_stopped_) return wait_for_close(now);
  const PollResult look = read_and_post(now);
  return look != PollResult::closed && !reading_stopped_ && asked && start_reader() ? PollResult::handed_over
                                                                                    : look;
}

Pollable::PollResult ClientSession::back_off(Time now, Time until) {
  if (!unread_since_) unread_since_ = now;
  next_due_ = std::max(until, now + kLookAgain);
  return PollResult::wait_until_due;
}

// Guards all others in the lobby: one who floods is not read until its turn comes. Guards the engines: what a
// client asked for that has gone meanwhile is handed to nobody.
Pollable::PollResult ClientSession::post_all(Time now) {
  decode_pending();
  while (!messages_.is_empty()) {
    if (socket_.peer_has_closed()) return PollResult::closed;
    const Time turn = results_sent_ > 0 ? now : rate_limiter_.next_permitted(now);
    if (turn > now || !credits_.try_acquire()) return back_off(now, turn);
    rate_limiter_.record(now);
    post_next();
  }
  return PollResult::wait_readable;
}

Pollable::PollResult ClientSession::read_and_post(Time now) try {
  has_unposted_bytes_ = true;  // before the bytes leave the socket, where break_off_idle() sees them
  next_due_ = Time::max();
  while (true) {
    const PollResult handed_in = post_all(now);
    if (handed_in != PollResult::wait_readable) return handed_in;
    if (protocol_error_) return stop_reading(now, *protocol_error_);
    if (!reserve_partial_message()) {
      if (now >= message_deadline_) return stop_reading(now, "no memory for a message");
      back_off(now, now);
      next_due_ = std::min(message_deadline_, next_due_);
      return PollResult::wait_until_due;
    }
    const ReadOutcome came = read_available();
    if (came == ReadOutcome::closed) return PollResult::closed;
    if (came == ReadOutcome::would_block) break;
  }
  has_unposted_bytes_ = reader_.pending() > 0;
  if (now >= message_deadline_) return stop_reading(now, "stuck inside a message");
  next_due_ = message_deadline_;
  return PollResult::wait_readable;
} catch (const std::exception& problem) {
  log_.write(std::string("a client connection is closed: ") + problem.what());
  close_cause_ = "a fault in what it sent";
  return PollResult::closed;
}

// Guards the answers that it is owed: nothing more is read, and the core has the connection closed once all
// that it took of it is answered.
Pollable::PollResult ClientSession::stop_reading(Time now, const std::string& why) {
  log_.write("a client is read no more: " + why);
  close_cause_ = "a fault in what it sent";
  reading_stopped_ = true;
  protocol_error_.reset();
  reader_ = {};
  partial_message_reservation_ = {};
  has_unposted_bytes_ = false;
  inbox_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  next_due_ = now + kEndLooks;
  return PollResult::wait_until_due;
}

// Its last answers have a while to leave, and `kLinger` more to reach it; then the connection goes whether it
// reads them or not. Guards the descriptors against a client that never does.
Pollable::PollResult ClientSession::wait_for_close(Time now) {
  if (socket_.aborted_locally() || socket_.peer_has_closed()) return PollResult::closed;
  if (sender_.is_closing() && close_deadline_ == Time::max()) close_deadline_ = now + kLastAnswers;
  if (sender_.is_drained()) close_deadline_ = std::min(close_deadline_, now + kLinger);
  if (now >= close_deadline_) return PollResult::closed;
  next_due_ = now + kEndLooks;
  return PollResult::wait_until_due;
}

// Guards against a machine that is short of threads: the client loses nothing, the lobby goes on reading it.
bool ClientSession::start_reader() try {
  if (results_sent_ < kBusyClientResults || !reader_pool_.reader_slots.try_reserve(reader_reservation_, 1))
    return false;
  thread_ = Thread("client-read", kSmallStack, [this] {
    bool idled = false;
    try {
      idled = run_reader();
    } catch (const std::exception& problem) {
      log_.write(std::string("a client connection is closed: ") + problem.what());
      close_cause_ = "a fault in what it sent";
    }
    reader_reservation_ = {};
    idled ? reader_pool_.client_poller.add(weak_from_this()) : on_closed();
  });
  return true;
} catch (const std::system_error& problem) {
  reader_reservation_ = {};
  log_.write(std::string("a client gets no reader of its own: ") + problem.what());
  return false;
}

// What is not whole, has no turn, or makes no sense stays with the session for whoever reads it next.
bool ClientSession::run_reader() {
  while (true) {
    decode_pending();
    while (!messages_.is_empty()) {
      if (!credits_.acquire()) return false;  // broken off: end() tells so
      if (socket_.peer_has_closed()) return false;
      post_next();
    }
    if (protocol_error_ || !reserve_partial_message()) return true;
    has_unposted_bytes_ = reader_.pending() > 0;
    // Silent: the lobby reads it on, and sees to it that what has begun is whole in time.
    const auto waited = socket_.wait_readable(std::min(message_deadline_, now() + kReaderIdle));
    if (waited != Socket::WaitResult::readable) return waited == Socket::WaitResult::timed_out;
    has_unposted_bytes_ = true;
    if (read_available() == ReadOutcome::closed) return false;
  }
}

}  // namespace yokestream::net
