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
void ClientSession::decode_ahead() try {
  while (!fault_ && !messages_.full()) {
    auto message = reader_.next();
    if (!message) break;
    whole_by_ = Time::max();
    if (std::holds_alternative<protocol::OtherNotice>(*message))
      fault_ = "an unknown notification";
    else
      messages_.add(std::move(*message), arrived_);
  }
} catch (const protocol::ProtocolError& problem) {
  fault_ = problem.what();
}

// What lies in the socket, and no more than a few reads of it: a client's word that it gives a request up is
// then often read together with the request. What came while nobody read may have come long ago: it counts
// from when the socket was last seen empty.
ClientSession::Came ClientSession::read_some() {
  std::array<char, kReadBytes> bytes;
  Came came = Came::nothing;
  for (int reads = 0; reads < kReadsAtOnce; ++reads) {
    const auto size = socket_.read_now(bytes.data(), bytes.size());
    if (size == 0) return Came::end;
    if (!size) {
      unread_since_.reset();
      break;
    }
    came = Came::something;
    arrived_ = unread_since_.value_or(now());
    reader_.feed({bytes.data(), *size});
    if (*size < bytes.size()) break;
  }
  decode_ahead();
  return came;
}

// A client that is stuck inside a message holds its bytes and its descriptor: it has until an absolute
// deadline to finish, and what all such clients hold together is bounded. Time with nothing open is bounded
// by the core.
// Where there is no memory for its next message a client is read on later: what it has open is owed answers,
// so its connection is not closed for that.
bool ClientSession::bound_rest() {
  const std::size_t pending = reader_.pending(), held = buffered_.bytes();
  if (pending == 0)
    whole_by_ = Time::max(), buffered_ = {};
  else if (whole_by_ == Time::max())
    whole_by_ = arrived_ + kMessageWithin;
  return pending <= held || budget_.try_reserve(buffered_, pending - held);
}

void ClientSession::hand_in_next() {
  MessageQueue::Entry next = messages_.take();
  inbox_.post(to_event(id_, std::move(next.message), next.arrived, names_));
  decode_ahead();
}

Watched::Look ClientSession::look(Time now, bool asked) {
  if (reading_over_) return wait_for_end(now);
  const Look look = read_now(now);
  return look != Look::ended && !reading_over_ && asked && start_reader() ? Look::taken : look;
}

Watched::Look ClientSession::pause(Time now, Time until) {
  if (!unread_since_) unread_since_ = now;
  due_ = std::max(until, now + kLookAgain);
  return Look::later;
}

// Guards all others in the lobby: one who floods is not read until its turn comes. Guards the engines: what a
// client asked for that has gone meanwhile is handed to nobody.
Watched::Look ClientSession::hand_in_all(Time now) {
  decode_ahead();
  while (!messages_.empty()) {
    if (socket_.peer_has_closed()) return Look::ended;
    const Time turn = served_ > 0 ? now : pace_.next_at(now);
    if (turn > now || !turns_.try_take()) return pause(now, turn);
    pace_.took(now);
    hand_in_next();
  }
  return Look::again;
}

Watched::Look ClientSession::read_now(Time now) try {
  busy_ = true;  // before the bytes leave the socket, where break_off_idle() sees them
  due_ = Time::max();
  while (true) {
    const Look handed_in = hand_in_all(now);
    if (handed_in != Look::again) return handed_in;
    if (fault_) return stop_reading(now, *fault_);
    if (!bound_rest()) {
      if (now >= whole_by_) return stop_reading(now, "no memory for a message");
      pause(now, now);
      due_ = std::min(whole_by_, due_);
      return Look::later;
    }
    const Came came = read_some();
    if (came == Came::end) return Look::ended;
    if (came == Came::nothing) break;
  }
  busy_ = reader_.pending() > 0;
  if (now >= whole_by_) return stop_reading(now, "stuck inside a message");
  due_ = whole_by_;
  return Look::again;
} catch (const std::exception& problem) {
  log_.write(std::string("a client connection is closed: ") + problem.what());
  ending_ = "a fault in what it sent";
  return Look::ended;
}

// Guards the answers that it is owed: nothing more is read, and the core has the connection closed once all
// that it took of it is answered.
Watched::Look ClientSession::stop_reading(Time now, const std::string& why) {
  log_.write("a client is read no more: " + why);
  ending_ = "a fault in what it sent";
  reading_over_ = true;
  fault_.reset();
  reader_ = {};
  buffered_ = {};
  busy_ = false;
  inbox_.post(dispatch::Event(dispatch::SessionStalled{id_}));
  due_ = now + kEndLooks;
  return Look::later;
}

// Its last answers have a while to leave, and `kLinger` more to reach it; then the connection goes whether it
// reads them or not. Guards the descriptors against a client that never does.
Watched::Look ClientSession::wait_for_end(Time now) {
  if (socket_.broken_off_here() || socket_.peer_has_closed()) return Look::ended;
  if (sender_.finishing() && end_by_ == Time::max()) end_by_ = now + kLastAnswers;
  if (sender_.finished()) end_by_ = std::min(end_by_, now + kLinger);
  if (now >= end_by_) return Look::ended;
  due_ = now + kEndLooks;
  return Look::later;
}

// Guards against a machine that is short of threads: the client loses nothing, the lobby goes on reading it.
bool ClientSession::start_reader() try {
  if (served_ < kServedOften || !readers_.places.try_reserve(place_, 1)) return false;
  thread_ = Thread("client-read", kSmallStack, [this] {
    bool idled = false;
    try {
      idled = read_busy();
    } catch (const std::exception& problem) {
      log_.write(std::string("a client connection is closed: ") + problem.what());
      ending_ = "a fault in what it sent";
    }
    place_ = {};
    idled ? readers_.lobby.admit(weak_from_this()) : end();
  });
  return true;
} catch (const std::system_error& problem) {
  place_ = {};
  log_.write(std::string("a client gets no reader of its own: ") + problem.what());
  return false;
}

// What is not whole, has no turn, or makes no sense stays with the session for whoever reads it next.
bool ClientSession::read_busy() {
  while (true) {
    decode_ahead();
    while (!messages_.empty()) {
      if (!turns_.take()) return false;  // broken off: end() tells so
      if (socket_.peer_has_closed()) return false;
      hand_in_next();
    }
    if (fault_ || !bound_rest()) return true;
    busy_ = reader_.pending() > 0;
    // Silent: the lobby reads it on, and sees to it that what has begun is whole in time.
    const auto waited = socket_.wait_until(std::min(whole_by_, now() + kReaderIdle));
    if (waited != Socket::Waited::something) return waited == Socket::Waited::nothing;
    busy_ = true;
    if (read_some() == Came::end) return false;
  }
}

}  // namespace yokestream::net
